package peertest

import (
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// recordVariable is the environment variable that makes CheckLayout record fields that were added.
const recordVariable = "RECORD_LAYOUT"

// layoutFile holds the recorded fields, one to a line: the struct, the field and its type.
var layoutFile = filepath.Join("testdata", "messages.txt")

// CheckLayout fails the test if the encoding of messages, or of the structs in them, is one that daemons of earlier
// versions would misread. Structs are encoded as arrays, so the fields that are recorded in testdata/messages.txt of the
// calling package must come first, in the same order and with the same types. Fields that were added must be recorded,
// by running the test once with RECORD_LAYOUT=1.
func CheckLayout(t *testing.T, messages ...any) {
	t.Helper()
	today := layout{}
	for _, m := range messages {
		today.add(reflect.Indirect(reflect.ValueOf(m)).Type())
	}
	recorded := readLayout(t)
	for name, fields := range recorded {
		now := today[name]
		assert.Assert(t, len(now) >= len(fields), "%s has lost a field that earlier versions send: %v, now %v", name, fields, now)
		assert.DeepEqual(t, now[:len(fields)], fields)
	}
	if os.Getenv(recordVariable) != "" {
		today.write(t)
		return
	}
	for name, fields := range today {
		assert.DeepEqual(t, fields, recorded[name])
	}
}

// layout holds the encoded fields of structs, in order, by the name of the struct.
type layout map[string][]string

// add adds a type if it is a struct, and the structs in it.
func (l layout) add(typ reflect.Type) {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		l.add(typ.Elem())
	case reflect.Map:
		l.add(typ.Key())
		l.add(typ.Elem())
	case reflect.Struct:
		l.addStruct(typ)
	}
}

func (l layout) addStruct(typ reflect.Type) {
	name := structName(typ)
	if typ == reflect.TypeFor[time.Time]() || l[name] != nil {
		return
	}
	l[name] = []string{}
	for i := range typ.NumField() {
		f := typ.Field(i)
		if f.IsExported() {
			l[name] = append(l[name], f.Name+" "+typeName(f.Type))
			l.add(f.Type)
		}
	}
}

// structName returns the name of a struct without its type arguments.
func structName(typ reflect.Type) string {
	name, _, _ := strings.Cut(typ.Name(), "[")
	return name
}

// typeName returns the type of a field as it is encoded: named types other than structs are encoded as the type that
// they are based on.
func typeName(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Pointer:
		return "*" + typeName(typ.Elem())
	case reflect.Slice:
		return "[]" + typeName(typ.Elem())
	case reflect.Map:
		return "map[" + typeName(typ.Key()) + "]" + typeName(typ.Elem())
	case reflect.Struct:
		return structName(typ)
	case reflect.Array:
		return typ.String()
	}
	return typ.Kind().String()
}

// readLayout reads the recorded layout. It is empty if none was recorded.
func readLayout(t *testing.T) layout {
	t.Helper()
	text, err := os.ReadFile(layoutFile)
	if os.IsNotExist(err) {
		return layout{}
	}
	assert.NilError(t, err)
	l := layout{}
	for line := range strings.Lines(string(text)) {
		name, field, _ := strings.Cut(strings.TrimSpace(line), " ")
		l[name] = append(l[name], field)
	}
	return l
}

// write records the layout.
func (l layout) write(t *testing.T) {
	t.Helper()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l)) {
		for _, field := range l[name] {
			b.WriteString(name + " " + field + "\n")
		}
	}
	assert.NilError(t, os.MkdirAll(filepath.Dir(layoutFile), 0o755))
	assert.NilError(t, os.WriteFile(layoutFile, []byte(b.String()), 0o644))
}
