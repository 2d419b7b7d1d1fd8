package httpcheck

import (
	"bytes"
	"strings"
)

// requestHead checks the head of one request.
type requestHead struct {
	fields  fields
	lengths int
	hosts   int
}

// CheckRequestHead checks the bytes of the head of a request. received may hold more than the head. It returns the length of
// the head, or zero if its empty line isn't there.
func CheckRequestHead(received []byte) (length int, err error) {
	var (
		h requestHead
		l lines
	)
	for {
		first := l.checked == 0
		line, ok := l.next(received)
		switch {
		case !ok:
			return 0, nil
		case first:
			err = h.checkRequestLine(line)
		case len(line) == 0:
			return l.checked, h.checkTogether()
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return 0, err
		}
	}
}

// checkRequestLine checks a line like "GET /path HTTP/1.1".
func (h *requestHead) checkRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte{' '})
	target, version, _ := bytes.Cut(rest, []byte{' '})
	h.fields.http10 = string(version) == "HTTP/1.0"
	if !h.fields.http10 && string(version) != "HTTP/1.1" || !isToken(method) || !isTarget(target) {
		return malformed(BadRequestLine, line)
	}
	return nil
}

// isTarget reports whether a request target isn't empty and has no blanks or control bytes.
func isTarget(target []byte) bool {
	for _, b := range target {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return len(target) > 0
}

func (h *requestHead) checkField(line []byte) error {
	name, value, err := h.fields.check(line)
	switch {
	case err != nil:
		return err
	case bytes.EqualFold(name, contentLength):
		h.lengths++
	case bytes.EqualFold(name, hostField):
		h.hosts++
		if !IsHost(string(value)) {
			return malformed(BadHost, value)
		}
	}
	return nil
}

// checkTogether checks the number of fields that may be there only once, and the framing. A server may reject a request that
// states its length twice.
func (h *requestHead) checkTogether() error {
	switch {
	case h.hosts > 1:
		return &Error{Cause: BadHost, Detail: "more than one host"}
	case h.hosts == 0 && !h.fields.http10:
		return &Error{Cause: BadHost, Detail: "no host"}
	case h.lengths > 1:
		return &Error{Cause: BadFraming, Detail: "more than one length"}
	}
	return h.fields.checkFraming()
}

// IsHost reports whether a value is a host with an optional port, by RFC 3986, section 3.2.
func IsHost(value string) bool {
	if rest, ok := strings.CutPrefix(value, "["); ok {
		address, port, closed := strings.Cut(rest, "]")
		return closed && hasOnly(address, ":.%-_~") && isPort(port)
	}
	name, port := value, ""
	if i := strings.IndexByte(value, ':'); i >= 0 {
		name, port = value[:i], value[i:]
	}
	return hasOnly(name, "-._~%!$&'()*+,;=") && isPort(port)
}

// hasOnly reports whether s isn't empty and has only letters, digits and the other bytes.
func hasOnly(s, other string) bool {
	for i := range len(s) {
		if !isLetterOrDigit(s[i]) && strings.IndexByte(other, s[i]) < 0 {
			return false
		}
	}
	return len(s) > 0
}

// isPort reports whether s is empty or a colon before digits.
func isPort(s string) bool {
	return s == "" || s[0] == ':' && isDigits(s[1:])
}

// CheckTrailerLine checks the line of one field after a body in chunks, without the end of the line.
func CheckTrailerLine(line []byte) error {
	if _, _, err := parseField(line); err != nil {
		return malformed(BadTrailer, line)
	}
	return nil
}
