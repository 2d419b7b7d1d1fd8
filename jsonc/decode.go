// Package jsonc decodes JSON with comments and trailing commas. It reports all
// errors in the input with their line, column and field.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"

	"github.com/jacinththread/jacinththread/finding"
)

// MaxDepth is the maximum nesting depth of objects and arrays.
const MaxDepth = 100

// Decode parses data as JSON with comments and trailing commas and stores the
// result in v, which must be a non-nil pointer. Field names are case-sensitive.
//
// Decode reports all unknown fields, duplicate fields and values of the wrong
// type, and stores the rest of the document in v. It recovers from some syntax
// errors, such as a missing comma or an unquoted word, and continues. After any
// other syntax error it reports only the syntax errors found so far and leaves v
// unchanged. The file name is used in findings only. The returned document is
// never nil.
func Decode(file string, data []byte, v any) (*Document, finding.List) {
	doc := newDocument(file, data)
	if offset := excessDepth(data); offset >= 0 {
		msg := fmt.Sprintf("nested deeper than %d levels", MaxDepth)
		return doc, finding.List{doc.findingAt(offset, "", msg)}
	}
	root, errs := parse(data)
	if root == nil {
		return doc, doc.syntaxFindings(errs)
	}
	w := walker{doc: doc}
	w.checkValue("", root, reflect.TypeOf(v).Elem())
	findings := doc.syntaxFindings(errs)
	findings = append(findings, doc.dropPatched(w.findings, errs)...)

	root.Standardize()
	err := json.Unmarshal(root.Pack(), v)
	if err != nil && len(findings) == 0 {
		findings = append(findings, doc.decodeFinding(err))
	}
	return doc, findings
}

// decodeFinding converts an error of encoding/json, which the walker did not
// detect, to a finding.
func (d *Document) decodeFinding(err error) finding.Finding {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return d.Finding(te.Field, "%s does not fit a %s", te.Value, te.Type)
	}
	return d.Finding("", "%v", err)
}

// terminateComment appends a newline if the last line may end with a line comment,
// because the parser requires a newline after one.
func terminateComment(data []byte) []byte {
	last := data[bytes.LastIndexByte(data, '\n')+1:]
	if !bytes.Contains(last, []byte("//")) {
		return data
	}
	return append(bytes.Clone(data), '\n')
}

// excessDepth returns the offset of the first bracket nested deeper than
// MaxDepth, or -1. The parser is recursive and has no depth limit of its own.
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

// skipString returns the offset of the closing quote of the string at i.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the end of the comment at i, or i if there is
// no comment.
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
