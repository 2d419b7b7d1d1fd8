package bundle

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/peer/peertest"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// fieldTypes appends "path type" to found for each field of a struct type,
// including nested ones.
func fieldTypes(prefix string, t reflect.Type, found []string) []string {
	for i := range t.NumField() {
		f := t.Field(i)
		path := prefix + f.Tag.Get("json")
		found = append(found, path+" "+typeName(f.Type))
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			found = fieldTypes(path+"[].", f.Type.Elem(), found)
		}
	}
	return found
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		if t.Elem().Kind() == reflect.String {
			return "list of strings"
		}
		return "list"
	case reflect.Int:
		return "integer"
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "boolean"
	}
	return t.Kind().String()
}

var referenceRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([a-z ]+) \\|")

func TestReferenceListsTheSchema(t *testing.T) {
	page, err := os.ReadFile("../docs/operations/bundle-reference.md")
	assert.NilError(t, err)
	var listed []string
	for _, m := range referenceRow.FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, m[1]+" "+m[2])
	}
	assert.DeepEqual(t, listed, fieldTypes("", reflect.TypeFor[Bundle](), nil))
}

func TestOperationsPageNamesTheMetrics(t *testing.T) {
	page, err := os.ReadFile("../docs/operations/bundle.md")
	assert.NilError(t, err)
	registry := metrics.NewRegistry()
	NewActivator(Config{Store: storetest.New(), Bus: peertest.NewNetwork(1).Bus("a"), Metrics: registry})
	var want, got []string
	registry.Each(func(name string, _ any) { want = append(want, name) })
	for _, m := range regexp.MustCompile("`(bundle\\.[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		got = append(got, m[1])
	}
	slices.Sort(want)
	slices.Sort(got)
	assert.Equal(t, strings.Join(slices.Compact(got), "\n"), strings.Join(want, "\n"))
}
