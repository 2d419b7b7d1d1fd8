package jsonc

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/jacinththread/jacinththread/finding"
)

// Document records the position of each field of a decoded input.
type Document struct {
	file string
	data []byte
	// offsets maps the path of each field to the byte offset of its value.
	offsets map[string]int
	// fields maps the byte offset of each field's name and value to its path.
	fields map[int]string
}

func newDocument(file string, data []byte) *Document {
	return &Document{file: file, data: data, offsets: map[string]int{}, fields: map[int]string{}}
}

// Finding returns a finding about a field, such as classes[2].tier. Its position
// is that of the field's value, or of the nearest parent that the input
// contains.
func (d *Document) Finding(field, format string, args ...any) finding.Finding {
	return d.findingAt(d.offsetOf(field), field, fmt.Sprintf(format, args...))
}

// Has reports whether the input contains the field.
func (d *Document) Has(field string) bool {
	_, ok := d.offsets[field]
	return ok
}

// record stores the offset of a field's value.
func (d *Document) record(path string, offset int) {
	d.offsets[path] = offset
	d.fields[offset] = path
}

// offsetOf returns the offset of a field, of its nearest parent in the input, or
// zero.
func (d *Document) offsetOf(field string) int {
	for {
		if offset, ok := d.offsets[field]; ok {
			return offset
		}
		if field == "" {
			return 0
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
}

// findingAt returns a finding whose position is a byte offset.
func (d *Document) findingAt(offset int, field, message string) finding.Finding {
	line, column := d.position(offset)
	return finding.Finding{
		File: d.file, Line: line, Column: column, Field: field, Message: message,
	}
}

// position returns the line and the column of a byte offset. Both count from 1,
// and columns count characters.
func (d *Document) position(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	start := 1 + bytes.LastIndexByte(before, '\n')
	return line, 1 + utf8.RuneCount(before[start:])
}
