package jsonc

import (
	"bytes"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/jacinththread/jacinththread/finding"
)

// maxSyntaxErrors bounds the syntax errors reported of one input.
const maxSyntaxErrors = 20

// placedError matches the place at the start of the parser's errors. The
// column counts bytes.
var placedError = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxError is an error of the parser with its place.
type syntaxError struct {
	offset  int
	message string
	// value is the offset of the value that was put in to pass over the error,
	// or -1.
	value int
}

// parse parses the input. The parser stops at the first error; parse then
// patches that place in a copy of the same length and parses again, so that
// later errors are found as well. It returns no tree if a place has no obvious
// patch.
func parse(data []byte) (*hujson.Value, []syntaxError) {
	input := endComment(data)
	var errs []syntaxError
	for {
		root, err := hujson.Parse(input)
		if err == nil {
			return &root, errs
		}
		e := placeError(input, err)
		if n := len(errs); n > 0 && e.offset <= errs[n-1].offset {
			return nil, errs // The last patch was wrong.
		}
		patched := patch(input, &e)
		errs = append(errs, e)
		if patched == nil || len(errs) == maxSyntaxErrors {
			return nil, errs
		}
		input = patched
	}
}

func placeError(input []byte, err error) syntaxError {
	m := placedError.FindStringSubmatch(err.Error())
	if m == nil {
		return syntaxError{message: strings.TrimPrefix(err.Error(), "hujson: "), value: -1}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	start := 0
	for ; line > 1; line-- {
		start += 1 + bytes.IndexByte(input[start:], '\n')
	}
	return syntaxError{offset: start + column - 1, message: m[3], value: -1}
}

// patch returns a copy of the input in which the place of an error is valid,
// or nil.
func patch(input []byte, e *syntaxError) []byte {
	out := bytes.Clone(input)
	literal, isLiteral := strings.CutPrefix(e.message, "invalid literal: ")
	switch {
	case isLiteral:
		e.value = e.offset
		return patchLiteral(out, e.offset, len(literal))
	case strings.Contains(e.message, "value (expecting ',' or "):
		return patchSpace(out, e.offset, ',')
	case strings.HasSuffix(e.message, "at start of value"):
		e.value = e.offset - 1
		return patchSpace(out, e.offset, '0')
	}
	return nil
}

// patchLiteral replaces a literal by a string of the same length.
func patchLiteral(out []byte, offset, length int) []byte {
	if length < 2 || offset+length > len(out) {
		return nil
	}
	text := out[offset : offset+length]
	for i := range text {
		text[i] = 'x'
	}
	text[0], text[length-1] = '"', '"'
	return out
}

// patchSpace puts a missing token into the white space before the offset.
func patchSpace(out []byte, offset int, token byte) []byte {
	if offset == 0 || offset >= len(out) || strings.IndexByte(";=#'", out[offset]) >= 0 {
		return nil
	}
	before := out[:offset]
	line := before[1+bytes.LastIndexByte(bytes.TrimRight(before, " \t\r\n"), '\n'):]
	if bytes.Contains(line, []byte("//")) || bytes.Contains(line, []byte("*/")) {
		return nil // The white space may be that of a comment.
	}
	if strings.IndexByte(" \t\r\n", out[offset-1]) < 0 {
		return nil
	}
	out[offset-1] = token
	return out
}

// syntaxFindings returns findings for syntax errors, with the field that
// stands at the place if the tree tells it.
func (d *Document) syntaxFindings(errs []syntaxError) finding.List {
	var l finding.List
	for _, e := range errs {
		field, ok := d.fields[e.value]
		if !ok {
			field = d.fields[e.offset]
		}
		l = append(l, d.at(e.offset, field, "syntax error: "+e.message))
	}
	return l
}

// notPatched leaves out the findings about values that were put in.
func (d *Document) notPatched(l finding.List, errs []syntaxError) finding.List {
	return slices.DeleteFunc(l, func(f finding.Finding) bool {
		return slices.ContainsFunc(errs, func(e syntaxError) bool {
			if e.value < 0 {
				return false
			}
			line, column := d.place(e.value)
			return f.Line == line && f.Column == column
		})
	})
}
