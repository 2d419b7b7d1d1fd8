package httpcheck

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// validRequestHeads are heads of requests that must be accepted.
var validRequestHeads = map[string]string{
	"plain":                    "GET /a/b%2f?c=d HTTP/1.1\r\nHost: host.example\r\n\r\n",
	"length":                   "POST / HTTP/1.1\r\nHost: h:8080\r\nContent-Length: 3\r\n\r\nabc",
	"chunks":                   "POST / HTTP/1.1\r\nhost:h\r\ntransfer-encoding: Chunked\r\nTrailer: a\r\n\r\n0\r\n\r\n",
	"HTTP/1.0":                 "GET / HTTP/1.0\r\n\r\n",
	"HTTP/1.0 with a host":     "POST / HTTP/1.0\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
	"empty value":              "GET / HTTP/1.1\r\nHost: h\r\nA:\r\nB: \r\n\r\n",
	"blanks around a value":    "GET / HTTP/1.1\r\nHost: \t h\t \r\nContent-Length: \t3 \r\n\r\n",
	"tab and bytes over 127":   "GET / HTTP/1.1\r\nHost: h\r\nA: b\tc\xc3\xa4\r\n\r\n",
	"name with all characters": "GET / HTTP/1.1\r\nHost: h\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n\r\n",
	"colons in a value":        "GET / HTTP/1.1\r\nHost: h\r\nPrompt: a:1, b:2\r\n\r\n",
	"field more than once":     "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\nA: c\r\n\r\n",
	"IPv4 address":             "GET / HTTP/1.1\r\nHost: 127.0.0.1:80\r\n\r\n",
	"IPv6 address":             "GET / HTTP/1.1\r\nHost: [::1]:80\r\n\r\n",
	"absolute form":            "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
	"asterisk form":            "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	"only line feeds":          "GET / HTTP/1.1\nHost: h\n\n",
	"expectation":              "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
}

// malformedRequestHeads are heads of requests that must not be accepted.
var malformedRequestHeads = map[Cause][]string{
	BadRequestLine: {
		"nonsense\r\n\r\n",
		"GET /\r\nHost: h\r\n\r\n",
		"GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1 \r\nHost: h\r\n\r\n",
		"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a\x01b HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET\t/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"G(T / HTTP/1.1\r\nHost: h\r\n\r\n",
		" / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.2\r\nHost: h\r\n\r\n",
		"GET / HTTP/2.0\r\nHost: h\r\n\r\n",
		"GET / http/1.1\r\nHost: h\r\n\r\n",
	},
	BadFieldName: {
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length\t: 3\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nCustomer : other\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nTenant :other\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA\x00: c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA\xe4: c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n: c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA\r\n\r\n",
	},
	BadFieldValue: {
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\x00c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\x7fc\r\n\r\n",
	},
	FoldedLine: {
		"GET / HTTP/1.1\r\n Host: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\tc\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n \r\n\r\n",
	},
	BadFraming: {
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
	},
	BadHost: {
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost:\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.0\r\nHost: h\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a b\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h/a\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: user@h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h:port\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: [::1\r\n\r\n",
	},
}

// It guards against proper requests that are refused.
func TestValidRequestHeadsAreAccepted(t *testing.T) {
	for name, received := range validRequestHeads {
		length, err := CheckRequestHead([]byte(received))
		assert.NilError(t, err, name)
		assert.Assert(t, length > 0, name)
	}
}

// It guards against heads that a server could read as another request.
func TestMalformedRequestHeadsAreRejected(t *testing.T) {
	for cause, heads := range malformedRequestHeads {
		for _, received := range heads {
			_, err := CheckRequestHead([]byte(received))
			assert.ErrorIs(t, err, ErrMalformed, "%q", received)
			assert.Equal(t, CauseOf(err), cause, "%q", received)
		}
	}
}

// FuzzRequestHead reads any bytes as the head of a request. A head that is accepted has only valid names and values and one
// framing, and parses to the same when it is written again.
func FuzzRequestHead(f *testing.F) {
	for _, received := range validRequestHeads {
		f.Add([]byte(received))
	}
	for _, heads := range malformedRequestHeads {
		for _, received := range heads {
			f.Add([]byte(received))
		}
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		length, err := CheckRequestHead(received)
		if err != nil || length == 0 {
			return
		}
		req, err := parseRequest(received[:length])
		if err != nil {
			return // net/http is stricter at times.
		}
		if err := checkFields(req.Header, BadFieldName); err != nil {
			t.Fatal(err)
		}
		if len(req.TransferEncoding) > 0 && (len(req.Header["Content-Length"]) > 0 || !req.ProtoAtLeast(1, 1)) {
			t.Fatalf("two framings in %v", req.Header)
		}
		if len(req.Header["Content-Length"]) > 1 {
			t.Fatalf("lengths %v", req.Header["Content-Length"])
		}
		if req.Host != "" && !IsHost(req.Host) {
			return // The target names the host, and ingress refuses it.
		}
		checkWrittenAgain(t, req)
	})
}

// checkWrittenAgain checks that a request is accepted and parses to the same when its head is written again.
func checkWrittenAgain(t *testing.T, req *http.Request) {
	t.Helper()
	written := serializeRequest(req)
	if length, err := CheckRequestHead(written); err != nil || length != len(written) {
		t.Fatalf("%q isn't accepted: %v", written, err)
	}
	again, err := parseRequest(written)
	if err != nil {
		t.Fatalf("%q isn't parsed: %v", written, err)
	}
	if again.Method != req.Method || again.RequestURI != req.RequestURI || again.Host != req.Host ||
		again.ContentLength != req.ContentLength || !reflect.DeepEqual(again.TransferEncoding, req.TransferEncoding) ||
		!reflect.DeepEqual(again.Header, req.Header) || !reflect.DeepEqual(again.Trailer, req.Trailer) {
		t.Fatalf("%+v is %+v when it is parsed again", req, again)
	}
}

func parseRequest(head []byte) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
}

// serializeRequest returns the head of a request. net/http has removed some fields.
func serializeRequest(req *http.Request) []byte {
	var b bytes.Buffer
	io.WriteString(&b, req.Method+" "+req.RequestURI+" "+req.Proto+"\r\n")
	if req.Host != "" {
		io.WriteString(&b, "Host: "+req.Host+"\r\n")
	}
	if len(req.TransferEncoding) > 0 {
		io.WriteString(&b, "Transfer-Encoding: chunked\r\n")
	}
	for name := range req.Trailer {
		io.WriteString(&b, "Trailer: "+name+"\r\n")
	}
	for name, values := range req.Header {
		for _, value := range values {
			io.WriteString(&b, name+": "+value+"\r\n")
		}
	}
	io.WriteString(&b, "\r\n")
	return b.Bytes()
}

// tenFields is the head of a request with ten fields.
const tenFields = "POST /route/path HTTP/1.1\r\nHost: host.example\r\nUser-Agent: client/1\r\nAccept: */*\r\n" +
	"Content-Type: application/json\r\nContent-Length: 300\r\nRequest-Id: 0123456789abcdef0123456789abcdef\r\n" +
	"Caller-Key: 0123456789abcdef\r\nWait-Ms: 2000\r\nModel-Id: model-1\r\nTokens: 300,200\r\n\r\n"

func BenchmarkCheckRequestHead(b *testing.B) {
	head := []byte(tenFields)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := CheckRequestHead(head); err != nil {
			b.Fatal(err)
		}
	}
}
