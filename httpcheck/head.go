package httpcheck

import (
	"bytes"
	"net/http"
	"strconv"
)

// Statuses of a response.
const (
	minStatus = 100
	maxStatus = 599
)

// Head checks the head of one response while its bytes arrive. The zero value is ready for use.
type Head struct {
	lines  lines
	fields fields
	status int
}

// Check checks the lines in received that are new since the last call. received holds all bytes of the head that have
// arrived, and maybe more. It returns the length of the head, or zero if its empty line hasn't arrived.
func (h *Head) Check(received []byte) (length int, err error) {
	for {
		first := h.lines.checked == 0
		line, ok := h.lines.next(received)
		switch {
		case !ok:
			return 0, nil
		case first:
			err = h.checkStatusLine(line)
		case len(line) == 0:
			return h.lines.checked, h.checkFraming()
		default:
			_, _, err = h.fields.check(line)
		}
		if err != nil {
			return 0, err
		}
	}
}

// checkStatusLine checks a line like "HTTP/1.1 200 OK". Servers that send no reason may leave out the space before it.
func (h *Head) checkStatusLine(line []byte) error {
	version, rest, ok := bytes.Cut(line, []byte{' '})
	h.fields.http10 = string(version) == "HTTP/1.0"
	if !ok || !h.fields.http10 && string(version) != "HTTP/1.1" {
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

// checkFraming checks what the fields say together about the length of the body.
func (h *Head) checkFraming() error {
	if err := h.fields.checkFraming(); err != nil {
		return err
	}
	if h.fields.coded && (h.status < http.StatusOK || h.status == http.StatusNoContent) {
		return &Error{Cause: BadFraming, Detail: "transfer coding of a response without a body"}
	}
	return nil
}
