// Package jsonc decodes JSON with comments and reports every fault of the
// input with its line, column and field.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"github.com/jacinththread/jacinththread/finding"
)

// MaxDepth is the deepest nesting of objects and arrays that Decode accepts.
const MaxDepth = 100

// Decode parses data as JSON with comments and trailing commas and stores it
// in v, a non-nil pointer. Field names match exactly.
//
// All unknown fields, doubled fields and values of a wrong type are reported,
// and the rest of the document is stored in v. After a syntax error, reading
// goes on if the place can be passed over, such as a missing comma or a word
// without quotes; otherwise the syntax errors so far are all that is reported
// and v is not changed. The file name is only used in findings. The document
// is never nil.
func Decode(file string, data []byte, v any) (*Document, finding.List) {
	doc := newDocument(file, data)
	if offset := excessDepth(data); offset >= 0 {
		msg := fmt.Sprintf("nested deeper than %d levels", MaxDepth)
		return doc, finding.List{doc.at(offset, "", msg)}
	}
	root, errs := parse(data)
	if root == nil {
		return doc, doc.syntaxFindings(errs)
	}
	w := walker{doc: doc}
	w.value("", root, reflect.TypeOf(v).Elem())
	findings := doc.syntaxFindings(errs)
	findings = append(findings, doc.notPatched(w.findings, errs)...)

	root.Standardize()
	err := json.Unmarshal(root.Pack(), v)
	if err != nil && len(findings) == 0 {
		findings = append(findings, doc.decodeFinding(err))
	}
	return doc, findings
}

// decodeFinding places an error of encoding/json that the walk did not find.
func (d *Document) decodeFinding(err error) finding.Finding {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return d.Finding(te.Field, "%s does not fit a %s", te.Value, te.Type)
	}
	return d.Finding("", "%v", err)
}

// endComment ends a line comment at the end of the input with a line break,
// which the parser requires.
func endComment(data []byte) []byte {
	last := data[bytes.LastIndexByte(data, '\n')+1:]
	if !bytes.Contains(last, []byte("//")) {
		return data
	}
	return append(bytes.Clone(data), '\n')
}

// excessDepth returns the offset of the first bracket nested deeper than
// MaxDepth, or -1. The parser is recursive and has no such limit.
func excessDepth(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch c := data[i]; c {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			depth++
			if depth > MaxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// skipString returns the offset of the quote that ends the string at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i, or i.
func skipComment(data []byte, i int) int {
	if i+1 >= len(data) {
		return i
	}
	switch data[i+1] {
	case '/':
		for i < len(data) && data[i] != '\n' {
			i++
		}
	case '*':
		for i += 3; i < len(data); i++ {
			if data[i-1] == '*' && data[i] == '/' {
				break
			}
		}
	}
	return i
}
