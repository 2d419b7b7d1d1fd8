package peer

import (
	"bytes"
	"fmt"
	"reflect"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// decoder is a pooled msgpack decoder together with its input reader.
type decoder struct {
	dec *msgpack.Decoder
	r   bytes.Reader
}

var decoders = sync.Pool{New: func() any {
	d := &decoder{}
	d.dec = msgpack.NewDecoder(&d.r)
	return d
}}

// Decode decodes a payload into m, which must be a non-nil pointer. Fields that
// the sender doesn't know keep their zero value, and fields that the receiver
// doesn't know are skipped. A malformed payload causes an error and no large
// allocation.
func Decode(payload []byte, m Message) error {
	if err := validatePayload(payload); err != nil {
		return err
	}
	d := decoders.Get().(*decoder)
	defer decoders.Put(d)
	d.r.Reset(payload)
	d.dec.Reset(&d.r)
	v := reflect.ValueOf(m)
	if v.Kind() != reflect.Pointer || v.IsNil() {
		return fmt.Errorf("decode into %T: not a pointer to a message", m)
	}
	if err := decodeValue(d.dec, v.Elem()); err != nil {
		return fmt.Errorf("decode message of kind %d: %w", m.Kind(), err)
	}
	return nil
}

// decodeValue decodes one value. Structs are decoded here rather than by the
// msgpack package, so that sender and receiver may know different numbers of
// fields. Unsigned integers are decoded here to detect overflow.
func decodeValue(d *msgpack.Decoder, v reflect.Value) error {
	switch v.Kind() {
	case reflect.String:
		s, err := d.DecodeString()
		v.SetString(s)
		return err
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		n, err := d.DecodeUint64()
		if err == nil && v.OverflowUint(n) {
			err = fmt.Errorf("number %d overflows %s", n, v.Type())
		}
		v.SetUint(n)
		return err
	case reflect.Struct:
		return decodeStruct(d, v)
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Struct {
			return decodeStructs(d, v)
		}
	}
	return d.DecodeValue(v)
}

func decodeStruct(d *msgpack.Decoder, v reflect.Value) error {
	fields := fieldsOf(v.Type())
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i >= len(fields) {
			err = d.Skip()
		} else {
			err = decodeValue(d, v.Field(fields[i]))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func decodeStructs(d *msgpack.Decoder, v reflect.Value) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n <= 0 {
		return err
	}
	s := reflect.MakeSlice(v.Type(), n, n)
	for i := range n {
		if err := decodeStruct(d, s.Index(i)); err != nil {
			return err
		}
	}
	v.Set(s)
	return nil
}

var fieldCache sync.Map // map[reflect.Type][]int

// fieldsOf returns the indexes of the encoded fields of a struct type.
func fieldsOf(t reflect.Type) []int {
	if f, ok := fieldCache.Load(t); ok {
		return f.([]int)
	}
	var fields []int
	for i := range t.NumField() {
		f := t.Field(i)
		if f.IsExported() && f.Tag.Get("msgpack") != "-" {
			fields = append(fields, i)
		}
	}
	fieldCache.Store(t, fields)
	return fields
}
