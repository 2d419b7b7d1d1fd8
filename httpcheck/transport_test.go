package httpcheck

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"

// serve starts a server that sends the same bytes to every request and closes the connection.
func serve(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				io.WriteString(c, response)
			}
			c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// fetch returns the body of a response, read through a Transport.
func fetch(t *testing.T, method, url string) (string, error) {
	t.Helper()
	return fetchWith(t, NewTransport(&http.Transport{DisableKeepAlives: true}), method, url)
}

func fetchWith(t *testing.T, transport *Transport, method, url string) (string, error) {
	t.Helper()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	req, err := http.NewRequest(method, url, nil)
	assert.NilError(t, err)
	res, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// It guards against malformed responses that clients of net/http take for answers.
func TestTransportFailsOnMalformedResponses(t *testing.T) {
	for response, cause := range map[string]Cause{
		"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n":                                          BadStatus,
		"HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n":                                          BadStatus,
		"HTTP/1.1 600 Large\r\nContent-Length: 0\r\n\r\n":                                         BadStatus,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nbytes":      BadStatus,
		"HTTP/1.2 200 OK\r\nContent-Length: 0\r\n\r\n":                                            BadStatusLine,
		"HTTP/1.1 200 OK\r\nContent-Length : 6\r\n\r\nanswer":                                     BadFieldName,
		"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 6\r\n\r\nanswer":                            BadFieldName,
		"HTTP/1.1 103 Early Hints\r\nLi nk: a\r\n\r\n" + sound:                                    BadFieldName,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nA b: c\r\n\r\n": BadTrailer,
	} {
		for _, transport := range []*Transport{
			{Base: &http.Transport{DisableKeepAlives: true}},
			NewTransport(&http.Transport{DisableKeepAlives: true}),
		} {
			body, err := fetchWith(t, transport, http.MethodGet, serve(t, response))
			assert.ErrorIs(t, err, ErrMalformed, "%q gave %q", response, body)
			assert.Equal(t, CauseOf(err), cause, "%q", response)
		}
	}
}

// It guards against malformed lines that net/http joins or drops.
func TestTransportChecksTheBytesOfHeads(t *testing.T) {
	for response, cause := range map[string]Cause{
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 6\r\n\r\nanswer":                                   FoldedLine,
		"HTTP/1.1 103 Early Hints\r\nLink:\r\n a\r\n\r\n" + sound:                                            FoldedLine,
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n": BadFraming,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n":                      BadFraming,
		"HTTP/1.1 200 O\x01K\r\nContent-Length: 6\r\n\r\nanswer":                                             BadStatusLine,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", 2*maxHeadBytes) + "\r\nContent-Length: 0\r\n\r\n":     LongHead,
	} {
		body, err := fetch(t, http.MethodGet, serve(t, response))
		assert.ErrorIs(t, err, ErrMalformed, "%.80q gave %q", response, body)
		assert.Equal(t, CauseOf(err), cause, "%.80q", response)
	}
}

// It guards against heads that are checked only on new connections.
func TestTransportChecksEachResponseOfAConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	responses := []string{sound, sound, "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 6\r\n\r\nanswer"}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		l.Close()
		defer c.Close()
		r := bufio.NewReader(c)
		for _, response := range responses {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, response)
		}
		r.ReadByte()
	}()
	transport := NewTransport(&http.Transport{})
	for i := range responses {
		body, err := fetchWith(t, transport, http.MethodPost, "http://"+l.Addr().String())
		if i < len(responses)-1 {
			assert.NilError(t, err)
			assert.Equal(t, body, "answer")
			continue
		}
		assert.ErrorIs(t, err, ErrMalformed, "%q", body)
	}
}

// It guards against parts of bodies that count as whole.
func TestBodyThatEndsWithItsConnectionIsNotCertain(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
		body, err := fetch(t, http.MethodGet, serve(t, head+"answer"))
		assert.Assert(t, errors.Is(err, ErrEndUnknown), "%v", err)
		assert.Equal(t, body, "answer")
	}
}

// It guards against a check that is too strict.
func TestTransportReturnsValidResponses(t *testing.T) {
	for name, test := range map[string]struct{ method, response, body string }{
		"sized":         {http.MethodGet, sound, "answer"},
		"chunks":        {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\nA: b\r\n\r\n", "answer"},
		"HTTP/1.0":      {http.MethodGet, strings.Replace(sound, "1.1", "1.0", 1), "answer"},
		"informational": {http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + sound, "answer"},
		"no content":    {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", ""},
		"not modified":  {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n", ""},
		"HEAD":          {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", ""},
	} {
		body, err := fetch(t, test.method, serve(t, test.response))
		assert.NilError(t, err, name)
		assert.Equal(t, body, test.body, name)
	}
}
