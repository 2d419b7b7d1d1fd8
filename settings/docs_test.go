package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/finding"
)

// docRow is a row of a table in docs/operations/settings.md.
type docRow struct {
	Field, Default, Allowed string
}

func TestReferenceListsEveryFieldWithDefaultAndBounds(t *testing.T) {
	documented := docRows(t)
	allowed := map[string]string{
		"telemetry.log_level":  strings.Join(logLevels, ", "),
		"telemetry.log_format": strings.Join(logFormats, ", "),
	}
	for _, b := range bounds {
		allowed[b.field] = fmt.Sprintf("%d to %d", b.min, b.max)
	}
	required := requiredFields(t)
	var want []docRow
	for _, row := range leaves("", reflect.ValueOf(*Defaults())) {
		if required[row.Field] {
			row.Default = "required"
		}
		row.Allowed = allowed[row.Field]
		want = append(want, row)
	}
	for i := range documented {
		if allowed[documented[i].Field] == "" { // The page describes these in words.
			documented[i].Allowed = ""
		}
	}
	assert.DeepEqual(t, documented, want)
}

// docRows returns the rows that document fields.
func docRows(t *testing.T) []docRow {
	t.Helper()
	data, err := os.ReadFile("../docs/operations/settings.md")
	assert.NilError(t, err)
	var rows []docRow
	for line := range strings.Lines(string(data)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(line, "|")
		rows = append(rows, docRow{
			Field:   strings.Trim(cells[1], " `"),
			Default: strings.TrimSpace(cells[2]),
			Allowed: strings.TrimSpace(cells[3]),
		})
	}
	return rows
}

// requiredFields returns the fields that are reported as required for an empty
// file.
func requiredFields(t *testing.T) map[string]bool {
	t.Helper()
	_, err := Parse("empty", []byte("{}"))
	var fe *finding.Error
	assert.Assert(t, errors.As(err, &fe))
	fields := map[string]bool{}
	for _, f := range fe.Findings {
		if f.Message == "value is required" {
			fields[f.Field] = true
		}
	}
	return fields
}

// leaves returns the fields of the struct v that are not structs themselves,
// with their defaults and in order, including those of nested structs.
func leaves(path string, v reflect.Value) []docRow {
	var rows []docRow
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		field := strings.TrimPrefix(path+"."+name, ".")
		value := v.Field(i)
		if value.Kind() == reflect.Struct {
			rows = append(rows, leaves(field, value)...)
			continue
		}
		text := fmt.Sprint(value)
		if text == "" || text == "[]" {
			text = "none"
		}
		rows = append(rows, docRow{Field: field, Default: text})
	}
	return rows
}
