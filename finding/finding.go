// Package finding collects the errors in an input file with their positions, so
// that all of them can be reported at once.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in an input file.
type Finding struct {
	// File is the name of the input as the user gave it.
	File string `json:"file"`
	// Line and Column count from 1. Column counts characters. Both are zero if
	// the error has no position in the file.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the dotted path of the field, such as classes[2].tier.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the finding as file:line:column: field: message. Unknown parts
// are omitted.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		b.WriteByte(':')
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Field != "" {
		b.WriteString(f.Field)
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List holds the findings of one check.
type List []Finding

// Error is a non-empty List as an error.
type Error struct {
	Findings List
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Sorted returns a copy sorted by file, line, column and field.
func (l List) Sorted() List {
	out := slices.Clone(l)
	slices.SortStableFunc(out, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Field, b.Field),
		)
	})
	return out
}

// Err returns an *Error with the sorted findings, or nil if there are none.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return &Error{Findings: l.Sorted()}
}

// Merge appends the findings of more. It omits a finding if l already has one for
// the same field, a parent or a child of it, so that a field that could not be
// decoded gets no second finding about its value.
func (l List) Merge(more List) List {
	known := len(l)
	for _, f := range more {
		if !l[:known].covers(f.Field) {
			l = append(l, f)
		}
	}
	return l
}

// covers reports whether l has a finding for the field, a parent or a child of it.
func (l List) covers(field string) bool {
	return slices.ContainsFunc(l, func(f Finding) bool {
		return within(field, f.Field) || within(f.Field, field)
	})
}

// within reports whether path equals parent or is below it. Every path is below
// the empty path.
func within(path, parent string) bool {
	rest, ok := strings.CutPrefix(path, parent)
	if !ok {
		return false
	}
	return parent == "" || rest == "" || rest[0] == '.' || rest[0] == '['
}
