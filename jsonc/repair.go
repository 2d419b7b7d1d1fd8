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

// maxSyntaxErrors limits the number of syntax errors reported for one input.
const maxSyntaxErrors = 20

// parserError matches the errors of the parser, which start with a position. The
// column counts bytes.
var parserError = regexp.MustCompile(`(?s)^hujson: line (\d+), column (\d+): (.*)$`)

// syntaxError is an error of the parser and its position.
type syntaxError struct {
	offset  int
	message string
	// patchedValue is the offset of the value that was substituted to recover from
	// the error, or -1.
	patchedValue int
}

// parse parses the input. The parser stops at the first error. To find later
// errors too, parse patches the position of the error in a copy of the same length
// and parses the copy. It returns no tree if an error has no obvious patch or if
// there are maxSyntaxErrors errors.
func parse(data []byte) (*hujson.Value, []syntaxError) {
	input := terminateComment(data)
	var errs []syntaxError
	for {
		root, err := hujson.Parse(input)
		if err == nil {
			return &root, errs
		}
		e := newSyntaxError(input, err)
		if n := len(errs); n > 0 && e.offset <= errs[n-1].offset {
			return nil, errs // The last patch did not resolve its error.
		}
		patched := patch(input, &e)
		errs = append(errs, e)
		if patched == nil || len(errs) == maxSyntaxErrors {
			return nil, errs
		}
		input = patched
	}
}

// newSyntaxError converts an error of the parser.
func newSyntaxError(input []byte, err error) syntaxError {
	m := parserError.FindStringSubmatch(err.Error())
	if m == nil {
		return syntaxError{message: strings.TrimPrefix(err.Error(), "hujson: "), patchedValue: -1}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	start := 0
	for ; line > 1; line-- {
		start += 1 + bytes.IndexByte(input[start:], '\n')
	}
	return syntaxError{offset: start + column - 1, message: m[3], patchedValue: -1}
}

// patch returns a copy of the input in which the position of the error is valid,
// or nil if it has no patch. It sets e.patchedValue if it substitutes a value.
func patch(input []byte, e *syntaxError) []byte {
	out := bytes.Clone(input)
	literal, isLiteral := strings.CutPrefix(e.message, "invalid literal: ")
	switch {
	case isLiteral:
		e.patchedValue = e.offset
		return patchLiteral(out, e.offset, len(literal))
	case strings.Contains(e.message, "value (expecting ',' or "):
		return patchSpace(out, e.offset, ',')
	case strings.HasSuffix(e.message, "at start of value"):
		e.patchedValue = e.offset - 1
		return patchSpace(out, e.offset, '0')
	}
	return nil
}

// patchLiteral replaces an invalid literal by a string of the same length.
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

// patchSpace overwrites the white space character before the offset with a missing
// token. It returns nil if there is none or if the patch could be wrong.
func patchSpace(out []byte, offset int, token byte) []byte {
	if offset == 0 || offset >= len(out) || strings.IndexByte(";=#'", out[offset]) >= 0 {
		return nil // No JSON value starts with these characters.
	}
	before := out[:offset]
	line := before[1+bytes.LastIndexByte(bytes.TrimRight(before, " \t\r\n"), '\n'):]
	if bytes.Contains(line, []byte("//")) || bytes.Contains(line, []byte("*/")) {
		return nil // The white space may be part of a comment.
	}
	if strings.IndexByte(" \t\r\n", out[offset-1]) < 0 {
		return nil
	}
	out[offset-1] = token
	return out
}

// syntaxFindings converts syntax errors to findings. A finding names the field at
// its position if the syntax tree contains one.
func (d *Document) syntaxFindings(errs []syntaxError) finding.List {
	var l finding.List
	for _, e := range errs {
		field, ok := d.fields[e.patchedValue]
		if !ok {
			field = d.fields[e.offset]
		}
		l = append(l, d.findingAt(e.offset, field, "syntax error: "+e.message))
	}
	return l
}

// dropPatched removes the findings about values that patch substituted.
func (d *Document) dropPatched(l finding.List, errs []syntaxError) finding.List {
	return slices.DeleteFunc(l, func(f finding.Finding) bool {
		return slices.ContainsFunc(errs, func(e syntaxError) bool {
			if e.patchedValue < 0 {
				return false
			}
			line, column := d.position(e.patchedValue)
			return f.Line == line && f.Column == column
		})
	})
}
