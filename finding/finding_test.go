package finding

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestErrIsNilWithoutFindings(t *testing.T) {
	assert.NilError(t, List{}.Err())
}

func TestErrorPrintsFindingsByPosition(t *testing.T) {
	l := List{
		{File: "a.jsonc", Line: 10, Column: 2, Field: "stop", Message: "late"},
		{File: "a.jsonc", Line: 9, Column: 30, Field: "name", Message: "second"},
		{File: "a.jsonc", Line: 9, Column: 4, Message: "first"},
		{Message: "no place"},
	}
	err := l.Err()
	assert.Error(t, err, "no place\n"+
		"a.jsonc:9:4: first\n"+
		"a.jsonc:9:30: name: second\n"+
		"a.jsonc:10:2: stop: late")
	var e *Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, len(e.Findings), 4)
	assert.Equal(t, l[0].Message, "late", "the list itself keeps its order")
}

func TestMergeOmitsFieldsWithFindings(t *testing.T) {
	l := List{{Field: "listen.callers"}, {Field: "seeds[1]"}}
	got := l.Merge(List{
		{Field: "listen.callers"},
		{Field: "listen.callersx"},
		{Field: "listen"},
		{Field: "seeds[1].name"},
		{Field: "seeds[10]"},
		{Field: "name", Message: "a"},
		{Field: "name", Message: "b"},
	})
	fields := []string{}
	for _, f := range got {
		fields = append(fields, f.Field+f.Message)
	}
	assert.DeepEqual(t, fields, []string{
		"listen.callers", "seeds[1]", "listen.callersx", "seeds[10]", "namea", "nameb",
	})
}
