package client

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against a part of an answer, or a malformed one, that is shown as the answer.
func TestAnswersThatAreNotCertainlyWholeAreErrors(t *testing.T) {
	for name, response := range map[string]string{
		"no length":       "HTTP/1.1 200 OK\r\n\r\n12",
		"status 000":      "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n12",
		"blank in a name": "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\n12",
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, func(w http.ResponseWriter, r *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err == nil, err)
				defer c.Close()
				io.WriteString(c, response)
			})
			hc := NewHTTPClient(time.Second, 1)
			_, _, err := NewCaller(hc, NewDirectory(hc, []string{d.URL}, false)).CallService(t.Context(), http.MethodGet, "/p", nil, Options{})
			assert.Assert(t, err != nil)
			_, err = NewOperator(hc, d.URL, "").Status(t.Context())
			assert.Assert(t, err != nil)
		})
	}
}
