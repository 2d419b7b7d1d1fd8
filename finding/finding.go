// Package finding collects the faults of an input file with their places, so
// that all of them are reported together.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of an input file.
type Finding struct {
	// File is the name of the input as the user gave it.
	File string `json:"file"`
	// Line and Column count from 1. Column counts characters. Both are zero if
	// the fault has no place in the file.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the dotted path of the field, such as classes[2].tier.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the finding as file:line:column: field: message. Parts that
// are not known are left out.
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

// List is the findings of one check.
type List []Finding

// Error is a List that is not empty.
type Error struct {
	Findings List
}

// Error returns one finding a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Sorted returns a copy in the order of file, line, column and field.
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

// Merge appends the findings of more. It leaves out those whose field, or a
// parent or child of it, has a finding in l already: a field that could not be
// read gets no second finding about its value.
func (l List) Merge(more List) List {
	known := len(l)
	for _, f := range more {
		if !l[:known].covers(f.Field) {
			l = append(l, f)
		}
	}
	return l
}

func (l List) covers(field string) bool {
	return slices.ContainsFunc(l, func(f Finding) bool {
		return within(field, f.Field) || within(f.Field, field)
	})
}

// within reports whether path is parent or lies below it. Every path lies
// below the empty one.
func within(path, parent string) bool {
	rest, ok := strings.CutPrefix(path, parent)
	if !ok {
		return false
	}
	return parent == "" || rest == "" || rest[0] == '.' || rest[0] == '['
}
