package jsonc

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/jacinththread/jacinththread/finding"
)

var (
	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// walker checks a syntax tree against the Go type that it is decoded into.
type walker struct {
	doc      *Document
	findings finding.List
}

func (w *walker) report(v *hujson.Value, path, format string, args ...any) {
	f := w.doc.findingAt(v.StartOffset, path, fmt.Sprintf(format, args...))
	w.findings = append(w.findings, f)
}

// checkValue checks the value at path against the type t.
func (w *walker) checkValue(path string, v *hujson.Value, t reflect.Type) {
	w.doc.record(path, v.StartOffset)
	kind := v.Value.Kind()
	if t.Kind() == reflect.Pointer {
		if kind != 'n' {
			w.checkValue(path, v, t.Elem())
		}
		return
	}
	if reflect.PointerTo(t).Implements(jsonUnmarshaler) {
		w.checkUnmarshaler(path, v, t)
		return
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		w.checkTextUnmarshaler(path, v, t)
		return
	}
	if t.Kind() == reflect.Interface {
		return
	}
	if want := kindsOf(t); !strings.ContainsRune(want, rune(kind)) {
		w.report(v, path, "%s expected, %s found", kindName(rune(want[0])), kindName(rune(kind)))
		return
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		w.checkObject(path, value, t)
	case *hujson.Array:
		w.checkArray(path, value, t)
	case hujson.Literal:
		w.checkLiteral(path, v, value, t)
	}
}

// checkUnmarshaler checks a value by decoding it into a new t, which implements
// json.Unmarshaler.
func (w *walker) checkUnmarshaler(path string, v *hujson.Value, t reflect.Type) {
	clone := v.Clone()
	clone.BeforeExtra, clone.AfterExtra = nil, nil
	clone.Standardize()
	if err := json.Unmarshal(clone.Pack(), reflect.New(t).Interface()); err != nil {
		w.report(v, path, "%v", err)
	}
}

// checkTextUnmarshaler checks a value by decoding it into a new t, which
// implements encoding.TextUnmarshaler.
func (w *walker) checkTextUnmarshaler(path string, v *hujson.Value, t reflect.Type) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		w.report(v, path, "string expected, %s found", kindName(rune(v.Value.Kind())))
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(literal.String())); err != nil {
		w.report(v, path, "%v", err)
	}
}

func (w *walker) checkObject(path string, o *hujson.Object, t reflect.Type) {
	fields := fieldsOf(t)
	first := map[string]int{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		child := joinPath(path, name)
		w.doc.fields[m.Name.StartOffset] = child
		if offset, duplicate := first[name]; duplicate {
			line, _ := w.doc.position(offset)
			w.report(&m.Name, child, "field is given twice, first on line %d", line)
			continue
		}
		first[name] = m.Name.StartOffset
		if t.Kind() == reflect.Map {
			w.checkValue(child, &m.Value, t.Elem())
			continue
		}
		ft, known := fields[name]
		if !known {
			w.report(&m.Name, child, "unknown field%s", suggestion(name, fields))
			continue
		}
		w.checkValue(child, &m.Value, ft)
	}
}

func (w *walker) checkArray(path string, a *hujson.Array, t reflect.Type) {
	if t.Kind() == reflect.Array && len(a.Elements) != t.Len() {
		offset := w.doc.offsets[path]
		msg := fmt.Sprintf("%d elements expected, %d found", t.Len(), len(a.Elements))
		w.findings = append(w.findings, w.doc.findingAt(offset, path, msg))
		return
	}
	for i := range a.Elements {
		w.checkValue(fmt.Sprintf("%s[%d]", path, i), &a.Elements[i], t.Elem())
	}
}

// checkLiteral checks that a number is valid for its type.
func (w *walker) checkLiteral(path string, v *hujson.Value, l hujson.Literal, t reflect.Type) {
	var err error
	switch {
	case t.Kind() >= reflect.Int && t.Kind() <= reflect.Int64:
		_, err = strconv.ParseInt(string(l), 10, t.Bits())
	case t.Kind() >= reflect.Uint && t.Kind() <= reflect.Uintptr:
		_, err = strconv.ParseUint(string(l), 10, t.Bits())
	case t.Kind() == reflect.Float32 || t.Kind() == reflect.Float64:
		_, err = strconv.ParseFloat(string(l), t.Bits())
	}
	if err != nil {
		w.report(v, path, "%s is not a valid %s", l, t.Kind())
	}
}

// kindsOf returns the JSON kinds, as hujson denotes them, from which a type can be
// decoded. The first is the one that findings name as expected.
func kindsOf(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "{"
	case reflect.Map:
		return "{n"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return "\"n"
		}
		return "[n"
	case reflect.Array:
		return "["
	case reflect.Bool:
		return "tf"
	case reflect.String:
		return "\""
	default:
		return "0"
	}
}

// kindName returns the name of a JSON kind.
func kindName(kind rune) string {
	switch kind {
	case 'n':
		return "null"
	case 't', 'f':
		return "boolean"
	case '"':
		return "string"
	case '{':
		return "object"
	case '[':
		return "array"
	default:
		return "number"
	}
}

// fieldsOf returns the types of a struct's fields by JSON name. It includes the
// fields of embedded structs.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	if t.Kind() != reflect.Struct {
		return nil
	}
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous && name == "" && f.Type.Kind() == reflect.Struct {
			for n, ft := range fieldsOf(f.Type) {
				fields[n] = ft
			}
			continue
		}
		if !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Type
	}
	return fields
}

// suggestion returns a hint that names the known field that differs from name only
// in case and separators, or an empty string.
func suggestion(name string, fields map[string]reflect.Type) string {
	for known := range fields {
		if normalizeName(known) == normalizeName(name) {
			return fmt.Sprintf(", did you mean %q?", known)
		}
	}
	return ""
}

func normalizeName(name string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(name))
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
