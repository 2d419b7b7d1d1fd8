package httpcheck

import (
	"bytes"
	"strings"
)

// Names of the fields that tell the framing of a message, and of the host of a request.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	hostField        = []byte("Host")
)

// lines splits the bytes of a head into lines while they arrive.
type lines struct {
	// searched is how many bytes were searched for the end of a line, and checked how many are lines that were returned.
	searched, checked int
}

// next returns the next line without its end. It reports false if the end of the line hasn't arrived.
func (l *lines) next(received []byte) (line []byte, ok bool) {
	i := bytes.IndexByte(received[l.searched:], '\n')
	if i < 0 {
		l.searched = len(received)
		return nil, false
	}
	end := l.searched + i
	line = bytes.TrimSuffix(received[l.checked:end], []byte{'\r'})
	l.searched, l.checked = end+1, end+1
	return line, true
}

// fields checks the fields of one head, of a request or a response.
type fields struct {
	http10 bool
	length string
	coded  bool
}

// check checks the line of one field and returns its name and value.
func (f *fields) check(line []byte) (name, value []byte, err error) {
	name, value, err = parseField(line)
	switch {
	case err != nil:
		return nil, nil, err
	case bytes.EqualFold(name, contentLength):
		err = f.recordLength(value)
	case bytes.EqualFold(name, transferEncoding):
		err = f.recordCoding(value)
	}
	return name, value, err
}

// parseField returns the name and the value in the line of one field. RFC 9112, section 5.2, lets a server reject folded
// lines.
func parseField(line []byte) (name, value []byte, err error) {
	if line[0] == ' ' || line[0] == '\t' {
		return nil, nil, malformed(FoldedLine, line)
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) {
		return nil, nil, malformed(BadFieldName, line)
	}
	value = bytes.Trim(value, " \t")
	if !isFieldValue(value) {
		return nil, nil, malformed(BadFieldValue, line)
	}
	return name, value, nil
}

// recordLength records a Content-Length. All of a head must be the same.
func (f *fields) recordLength(value []byte) error {
	if len(value) == 0 || !isDigits(value) || f.length != "" && f.length != string(value) {
		return malformed(BadFraming, value)
	}
	f.length = string(value)
	return nil
}

// recordCoding records the only transfer coding that is known.
func (f *fields) recordCoding(value []byte) error {
	if f.coded || !strings.EqualFold(string(value), "chunked") {
		return malformed(BadFraming, value)
	}
	f.coded = true
	return nil
}

// checkFraming checks what the fields say together about the length of the body.
func (f *fields) checkFraming() error {
	switch {
	case f.coded && f.length != "":
		return &Error{Cause: BadFraming, Detail: "both a length and a transfer coding"}
	case f.coded && f.http10:
		return &Error{Cause: BadFraming, Detail: "transfer coding in HTTP/1.0"}
	}
	return nil
}

// isToken reports whether a name is a token by RFC 9110, section 5.6.2.
func isToken[T string | []byte](name T) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return len(name) > 0
}

func isTokenByte(b byte) bool {
	return isLetterOrDigit(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

func isLetterOrDigit(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9'
}

// isFieldValue reports whether a value has no control bytes other than tabs.
func isFieldValue[T string | []byte](value T) bool {
	for i := range len(value) {
		if b := value[i]; b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

func isDigits[T string | []byte](s T) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}
