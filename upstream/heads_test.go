package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

const sound = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\nanswer"

// malformedResponses are responses that aren't valid, by the cause that is counted and a name.
var malformedResponses = map[string]map[string]string{
	"status_line": {
		"no reason and no status": "HTTP/1.1\r\n\r\n",
		"version 2":               "HTTP/2.0 200 OK\r\n\r\n",
		"version 1.2":             "HTTP/1.2 200 OK\r\nContent-Length: 0\r\n\r\n",
		"version in lower case":   "http/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"two blanks":              "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
		"two digits":              "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
		"four digits":             "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
		"sign":                    "HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n",
		"control byte in reason":  "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n",
		"empty line before":       "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	},
	"status": {
		"000":                     "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"000 before another":      "HTTP/1.1 000 None\r\n\r\n" + sound,
		"099 before another":      "HTTP/1.1 099 None\r\n\r\n" + sound,
		"101":                     "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbytes",
		"101 before another":      "HTTP/1.1 101 Switching Protocols\r\n\r\n" + sound,
		"600":                     "HTTP/1.1 600 Large\r\nContent-Length: 0\r\n\r\n",
		"999 after informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 999 Large\r\nContent-Length: 0\r\n\r\n",
	},
	"field_name": {
		"blank before the colon of a length": "HTTP/1.1 200 OK\r\nContent-Length : 6\r\n\r\nanswer",
		"blank before the colon of a coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"blank inside":                       "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 0\r\n\r\n",
		"tab before the colon":               "HTTP/1.1 200 OK\r\nA\t: c\r\nContent-Length: 0\r\n\r\n",
		"no name":                            "HTTP/1.1 200 OK\r\n: c\r\nContent-Length: 0\r\n\r\n",
		"no colon":                           "HTTP/1.1 200 OK\r\nabc\r\nContent-Length: 0\r\n\r\n",
		"control byte":                       "HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 0\r\n\r\n",
		"NUL":                                "HTTP/1.1 200 OK\r\n\x00A: c\r\nContent-Length: 0\r\n\r\n",
		"byte over 127":                      "HTTP/1.1 200 OK\r\nA\xe4: c\r\nContent-Length: 0\r\n\r\n",
		"separator":                          "HTTP/1.1 200 OK\r\nA(b): c\r\nContent-Length: 0\r\n\r\n",
		"informational":                      "HTTP/1.1 103 Early Hints\r\nLink : a\r\n\r\n" + sound,
		"second informational":               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\n" + sound,
	},
	"field_value": {
		"NUL":                   "HTTP/1.1 200 OK\r\nA: b\x00c\r\nContent-Length: 0\r\n\r\n",
		"carriage return":       "HTTP/1.1 200 OK\r\nA: b\rc\r\nContent-Length: 0\r\n\r\n",
		"two carriage returns":  "HTTP/1.1 200 OK\r\nA: b\r\r\nContent-Length: 0\r\n\r\n",
		"delete":                "HTTP/1.1 200 OK\r\nA: \x7f\r\nContent-Length: 0\r\n\r\n",
		"behind the name's end": "HTTP/1.1 200 OK\r\nA:\x0b\r\nContent-Length: 0\r\n\r\n",
	},
	"folded_line": {
		"value":         "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n",
		"tab":           "HTTP/1.1 200 OK\r\nA: b\r\n\tc: d\r\nContent-Length: 0\r\n\r\n",
		"first field":   "HTTP/1.1 200 OK\r\n A: b\r\nContent-Length: 0\r\n\r\n",
		"empty":         "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n \r\n\r\nanswer",
		"informational": "HTTP/1.1 103 Early Hints\r\nLink:\r\n a\r\n\r\n" + sound,
	},
	"framing": {
		"folded length":        "HTTP/1.1 200 OK\r\nContent-Length:\r\n 6\r\n\r\nanswer",
		"two lengths":          "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 5\r\n\r\nanswer",
		"list of lengths":      "HTTP/1.1 200 OK\r\nContent-Length: 6, 6\r\n\r\nanswer",
		"signed length":        "HTTP/1.1 200 OK\r\nContent-Length: +6\r\n\r\nanswer",
		"negative length":      "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nanswer",
		"empty length":         "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nanswer",
		"hexadecimal length":   "HTTP/1.1 200 OK\r\nContent-Length: 0x6\r\n\r\nanswer",
		"length and coding":    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"coding and length":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"unknown coding":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nanswer",
		"two codings":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"chunked twice":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"identity":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nanswer",
		"coding in HTTP/1.0":   "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
		"coding without body":  "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"coding informational": "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + sound,
	},
	"trailer": {
		"blank before the colon": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nA : b\r\n\r\n",
		"blank inside":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nA b: c\r\n\r\n",
		"skipped":                "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nA b: c\r\n\r\n" + sound,
	},
	"long_head": {
		"one field":   "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", maxHeadBytes) + "\r\n\r\n",
		"many fields": "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", maxHeadBytes/6) + "\r\n",
	},
}

// It guards against heads that net/http accepts although they aren't valid, and against the bodies behind them.
func TestMalformedResponsesAreNeverAnswers(t *testing.T) {
	for cause, responses := range malformedResponses {
		for name, response := range responses {
			t.Run(cause+"/"+name, func(t *testing.T) {
				closed := make(chan struct{})
				s := serve(t, func(c net.Conn, r *bufio.Reader) {
					defer close(closed)
					readRequest(r)
					io.WriteString(c, response)
					r.ReadByte()
				})
				p := newPool()
				status, body, err := call(t, p, s, request("1"))
				assert.ErrorIs(t, err, ErrMalformed, "status %d, body %q", status, body)
				select {
				case <-closed:
				case <-time.After(time.Second):
					t.Fatal("the connection is still open")
				}
				count := p.cfg.Metrics.Get("upstream.malformed." + cause).(metrics.Counter).Count()
				assert.Equal(t, count, int64(1), "%v", err)
			})
		}
	}
}

// It guards against a check of heads that is too strict.
func TestValidResponsesAreAnswers(t *testing.T) {
	for name, response := range map[string]string{
		"no reason":             "HTTP/1.1 200\r\nContent-Length: 6\r\n\r\nanswer",
		"empty reason":          "HTTP/1.1 200 \r\nContent-Length: 6\r\n\r\nanswer",
		"odd name":              "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9z: a\r\nContent-Length: 6\r\n\r\nanswer",
		"empty value":           "HTTP/1.1 200 OK\r\nA:\r\nB: \t\r\nContent-Length:6\r\n\r\nanswer",
		"value with odd bytes":  "HTTP/1.1 200 OK\r\nA: \xe4\t\"(b):,\r\nContent-Length: 6\r\n\r\nanswer",
		"same length twice":     "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 6\r\n\r\nanswer",
		"line feeds":            "HTTP/1.1 200 OK\nContent-Length: 6\n\nanswer",
		"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n6\r\nanswer\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
		"informational":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + sound,
		"field over the buffer": "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 2*readBufferBytes) + "\r\nContent-Length: 6\r\n\r\nanswer",
		"head up to the buffer": "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nA: " + strings.Repeat("b", readBufferBytes-43) + "\r\n\r\nanswer",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := readRequest(r); err != nil {
						return
					}
					io.WriteString(c, response)
				}
			})
			p := newPool()
			for range 3 {
				status, body, err := call(t, p, s, request("1"))
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, body, "answer")
			}
		})
	}
}

// It guards against heads that arrive in parts and are taken for malformed.
func TestHeadInSingleBytesIsRead(t *testing.T) {
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		for i := range len(sound) {
			io.WriteString(c, sound[i:i+1])
		}
	})
	_, body, err := call(t, newPool(), s, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, body, "answer")
}

// It guards against responses without a body that are taken for ones that end with their connection.
func TestResponsesWithoutABodyKeepTheConnection(t *testing.T) {
	for head, method := range map[string]string{
		"204 No Content\r\n":                        http.MethodPost,
		"204 No Content\r\nContent-Length: 0\r\n":   http.MethodPost,
		"304 Not Modified\r\n":                      http.MethodGet,
		"304 Not Modified\r\nContent-Length: 9\r\n": http.MethodGet,
		"200 OK\r\n":                                http.MethodHead,
		"200 OK\r\nContent-Length: 9\r\n":           http.MethodHead,
		"200 OK\r\nTransfer-Encoding: chunked\r\n":  http.MethodHead,
		"404 Not Found\r\nContent-Length: 9\r\n":    http.MethodHead,
	} {
		t.Run(fmt.Sprintf("%s %q", method, head), func(t *testing.T) {
			s := serve(t, func(c net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := readRequest(r); err != nil {
						return
					}
					io.WriteString(c, "HTTP/1.1 "+head+"\r\n")
				}
			})
			p := newPool()
			for range 2 {
				r := request("1")
				r.Method, r.Body = method, nil
				_, body, err := call(t, p, s, r)
				assert.NilError(t, err)
				assert.Equal(t, body, "")
			}
			assert.Equal(t, p.reuses.Count(), int64(1))
		})
	}
}
