package jsonc

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type row struct {
	Name string `json:"name"`
	Tier int8   `json:"tier"`
}

type table struct {
	Rows  []row             `json:"rows"`
	Ratio float64           `json:"ratio"`
	Tags  map[string]uint16 `json:"tags"`
	Next  *row              `json:"next"`
	Since time.Time         `json:"since"`
	Raw   json.RawMessage   `json:"raw"`
	Key   []byte            `json:"key"`
	On    bool              `json:"on"`
}

func TestDecodeValues(t *testing.T) {
	var v table
	_, findings := Decode("t.jsonc", []byte(`// a table
{
	"rows": [{"name": "a", "tier": 3}, /* none */ {"name": "é\n"},],
	"ratio": 1e-3, "tags": {"x": 7}, "next": null, "on": true,
	"since": "2024-05-01T00:00:00Z", "raw": [1, {}], "key": "AAE=",
}`), &v)
	assert.NilError(t, findings.Err())
	assert.DeepEqual(t, v.Rows, []row{{"a", 3}, {"é\n", 0}})
	assert.Equal(t, v.Ratio, 0.001)
	assert.Equal(t, v.Tags["x"], uint16(7))
	assert.Equal(t, v.Since.Month(), time.May)
	assert.DeepEqual(t, v.Key, []byte{0, 1})
}

func TestDecodeReportsAllErrorsWithPosition(t *testing.T) {
	var v table
	_, findings := Decode("t.jsonc", []byte(`{
  // "rows": 1
  "rows": [
    {"name": 7, "tier": 300},
    {"name": "b", "Tier": 1, "name": "c"},
    "d"
  ],
  "ratio": "é", "extra": 1,
  "tags": {"x": -1, "y": 1.5},
  "next": {"tier": []},
  "since": "today",
  "on": null
}`), &v)
	assert.Error(t, findings.Err(), strings.TrimSpace(`
t.jsonc:4:14: rows[0].name: string expected, number found
t.jsonc:4:25: rows[0].tier: 300 is not a valid int8
t.jsonc:5:19: rows[1].Tier: unknown field, did you mean "tier"?
t.jsonc:5:30: rows[1].name: field is given twice, first on line 5
t.jsonc:6:5: rows[2]: object expected, string found
t.jsonc:8:12: ratio: number expected, string found
t.jsonc:8:17: extra: unknown field
t.jsonc:9:17: tags.x: -1 is not a valid uint16
t.jsonc:9:26: tags.y: 1.5 is not a valid uint16
t.jsonc:10:20: next.tier: number expected, array found
t.jsonc:11:12: since: parsing time "today" as "2006-01-02T15:04:05Z07:00": cannot parse "today" as "2006"
t.jsonc:12:9: on: boolean expected, null found`))
}

func TestDecodeReportsSyntaxErrors(t *testing.T) {
	for input, position := range map[string]string{
		"{\n  \"a\": ]\n}": "t:2:8: syntax error: ",
		"":                 "t:1:1: syntax error: ",
		"{} {}":            "t:1:4: syntax error: ",
	} {
		var v table
		_, findings := Decode("t", []byte(input), &v)
		assert.Equal(t, len(findings), 1, input)
		assert.Assert(t, strings.HasPrefix(findings[0].String(), position), findings[0].String())
	}
}

func TestDecodeRecoversFromSyntaxErrors(t *testing.T) {
	var v table
	_, findings := Decode("t", []byte(`{
  "rows": [
    {"name": "é" "tier": 300},
    {"name": , "tier": yes}
    {"nane": "c"}
  ],
  "ratio": 0x10,
  "on": "yes"
}`), &v)
	assert.Error(t, findings.Err(), strings.TrimSpace(`
t:3:18: rows[0].tier: syntax error: invalid character '"' after object value (expecting ',' or '}')
t:3:26: rows[0].tier: 300 is not a valid int8
t:4:14: rows[1].name: syntax error: invalid character ',' at start of value
t:4:24: rows[1].tier: syntax error: invalid literal: yes
t:5:5: rows[2]: syntax error: invalid character '{' after array value (expecting ',' or ']')
t:5:6: rows[2].nane: unknown field
t:7:12: ratio: syntax error: invalid literal: 0x10
t:8:9: on: boolean expected, string found`))
}

func TestDecodeStopsAtAmbiguousSyntaxErrors(t *testing.T) {
	for _, input := range []string{
		`{"a": 1; "b": yes}`,
		`{"a" 1, "b": yes}`,
		"{\"a\": 1 // x\n\"b\": yes}",
		"{\"a\": 1 /* x */\"b\": yes}",
		`{"a": 'x', "b": yes}`,
		`{"a": [1,,2], "b": yes}`,
		`{"a": yes`,
	} {
		var v map[string]any
		_, findings := Decode("t", []byte(input), &v)
		assert.Assert(t, len(findings) > 0, input)
		assert.Assert(t, v == nil, input)
		for _, f := range findings {
			assert.Assert(t, strings.HasPrefix(f.Message, "syntax error: "), "%s: %s", input, f)
		}
	}
}

func TestDecodeLimitsSyntaxErrors(t *testing.T) {
	var v any
	_, findings := Decode("t", []byte("["+strings.Repeat("yes, ", 100)+"]"), &v)
	assert.Equal(t, len(findings), maxSyntaxErrors)
}

func TestDecodeLimitsNesting(t *testing.T) {
	var v any
	within := strings.Repeat("[", MaxDepth) + strings.Repeat("]", MaxDepth)
	_, findings := Decode("t", []byte(`/* [ */ `+within+`// [`), &v)
	assert.NilError(t, findings.Err())
	_, findings = Decode("t", []byte(strings.Repeat("[", 1<<22)), &v)
	assert.Error(t, findings.Err(), "t:1:101: nested deeper than 100 levels")
}

func TestFindingUsesNearestParent(t *testing.T) {
	var v table
	doc, _ := Decode("t", []byte("{\n \"rows\": [\n  {\"name\": \"a\"}]}"), &v)
	assert.Equal(t, doc.Finding("rows[0].name", "no %s", "name").String(), "t:3:12: rows[0].name: no name")
	assert.Equal(t, doc.Finding("rows[0].tier", "x").String(), "t:3:3: rows[0].tier: x")
	assert.Equal(t, doc.Finding("rows[4].tier", "x").String(), "t:2:10: rows[4].tier: x")
	assert.Equal(t, doc.Finding("stop.bound", "x").String(), "t:1:1: stop.bound: x")
	assert.Assert(t, doc.Has("rows[0]") && !doc.Has("rows[1]"))
}

// TestDecodeArbitraryInput checks that Decode returns a document for any sequence
// of tokens, and that each finding has a position and a message. Input without
// findings is also valid for encoding/json, whose errors Decode reports.
func TestDecodeArbitraryInput(t *testing.T) {
	tokens := []string{"{", "}", "[", "]", ",", ":", `"rows"`, `"name"`, `"tier"`, `"ratio"`, `"raw"`,
		"1", "-1", "1e9", "null", "true", `"a"`, `"\u00"`, "//", "/*", "*/", "\n", " ", "é", "\xff"}
	rapid.Check(t, func(r *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom(tokens), 0, 24).Draw(r, "tokens")
		var v table
		doc, findings := Decode("t", []byte(strings.Join(parts, "")), &v)
		if doc == nil {
			r.Fatal("no document")
		}
		for _, f := range findings {
			if f.Line < 1 || f.Column < 1 || f.Message == "" {
				r.Fatalf("finding without position or message: %+v", f)
			}
		}
	})
}
