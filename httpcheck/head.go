package httpcheck

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// Statuses of a response.
const (
	minStatus = 100
	maxStatus = 599
)

// Head checks the head of one response while its bytes arrive. The zero value is ready for use.
type Head struct {
	// searched is how many bytes were searched for the end of a line, and checked how many are lines that were checked.
	searched, checked int
	status            int
	http10            bool
	length            string
	coded             bool
}

// Check checks the lines in received that are new since the last call. received holds all bytes of the head that have
// arrived, and maybe more. It returns the length of the head, or zero if its empty line hasn't arrived.
func (h *Head) Check(received []byte) (length int, err error) {
	for {
		i := bytes.IndexByte(received[h.searched:], '\n')
		if i < 0 {
			h.searched = len(received)
			return 0, nil
		}
		end := h.searched + i
		line := bytes.TrimSuffix(received[h.checked:end], []byte{'\r'})
		first := h.checked == 0
		h.searched, h.checked = end+1, end+1
		switch {
		case first:
			err = h.checkStatusLine(line)
		case len(line) == 0:
			return h.checked, h.checkFraming()
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return 0, err
		}
	}
}

// checkStatusLine checks a line like "HTTP/1.1 200 OK". Servers that send no reason may leave out the space before it.
func (h *Head) checkStatusLine(line []byte) error {
	version, rest, ok := bytes.Cut(line, []byte{' '})
	h.http10 = string(version) == "HTTP/1.0"
	if !ok || !h.http10 && string(version) != "HTTP/1.1" {
		return malformed(BadStatusLine, line)
	}
	status, reason, _ := bytes.Cut(rest, []byte{' '})
	if len(status) != 3 || !isDigits(status) || !isFieldValue(reason) {
		return malformed(BadStatusLine, line)
	}
	h.status = int(status[0]-'0')*100 + int(status[1]-'0')*10 + int(status[2]-'0')
	return checkStatus(h.status)
}

// checkStatus checks a status. No request of this system asks for another protocol.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &Error{Cause: BadStatus, Detail: strconv.Itoa(status)}
	}
	return nil
}

func (h *Head) checkField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return malformed(FoldedLine, line)
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) {
		return malformed(BadFieldName, line)
	}
	value = bytes.Trim(value, " \t")
	if !isFieldValue(value) {
		return malformed(BadFieldValue, line)
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		return h.recordLength(value)
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		return h.recordCoding(value)
	}
	return nil
}

// recordLength records a Content-Length. All of a head must be the same.
func (h *Head) recordLength(value []byte) error {
	if len(value) == 0 || !isDigits(value) || h.length != "" && h.length != string(value) {
		return malformed(BadFraming, value)
	}
	h.length = string(value)
	return nil
}

// recordCoding records the only transfer coding that is known.
func (h *Head) recordCoding(value []byte) error {
	if h.coded || !strings.EqualFold(string(value), "chunked") {
		return malformed(BadFraming, value)
	}
	h.coded = true
	return nil
}

// checkFraming checks what the fields say together about the length of the body.
func (h *Head) checkFraming() error {
	switch {
	case h.coded && h.length != "":
		return &Error{Cause: BadFraming, Detail: "both a length and a transfer coding"}
	case h.coded && h.http10:
		return &Error{Cause: BadFraming, Detail: "transfer coding in HTTP/1.0"}
	case h.coded && (h.status < http.StatusOK || h.status == http.StatusNoContent):
		return &Error{Cause: BadFraming, Detail: "transfer coding of a response without a body"}
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
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
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

func isDigits(s []byte) bool {
	for _, b := range s {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}
