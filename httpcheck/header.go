package httpcheck

import "net/http"

// CheckTrailer checks the fields after a body in chunks, which net/http has parsed.
func CheckTrailer(trailer http.Header) error { return checkFields(trailer, BadTrailer) }

// checkFields checks fields that net/http has parsed. It accepts blanks in names.
func checkFields[H ~map[string][]string](fields H, c Cause) error {
	for name, values := range fields {
		if !isToken(name) {
			return malformed(c, []byte(name))
		}
		for _, value := range values {
			if !isFieldValue(value) {
				return malformed(c, []byte(value))
			}
		}
	}
	return nil
}

// RemoveInvalidNames removes the fields whose names aren't tokens. http.Header.Del doesn't find "Name " by "Name".
func RemoveInvalidNames(h http.Header) {
	for name := range h {
		if !isToken(name) {
			delete(h, name)
		}
	}
}
