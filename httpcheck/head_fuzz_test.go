package httpcheck

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"reflect"
	"testing"
)

// FuzzHead reads any bytes as the head of a response. A head that is accepted has only valid names, values and statuses,
// is the same however its bytes arrive, and parses to the same when it is written again.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200\nA: b\n\n",
		"HTTP/1.0 204 No Content\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 000 None\r\n\r\n",
		"HTTP/1.1 099 None\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 600 Large\r\n\r\n",
		"HTTP/2.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 6\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA\x01: c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\x00c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		var whole Head
		length, err := whole.Check(received)
		inParts, partsErr := checkInParts(received)
		if length != inParts || (err == nil) != (partsErr == nil) {
			t.Fatalf("%d, %v at once, and %d, %v in parts", length, err, inParts, partsErr)
		}
		if err != nil || length == 0 {
			return
		}
		res, err := parse(received[:length])
		if err != nil {
			return // net/http is stricter at times.
		}
		if res.StatusCode < 100 || res.StatusCode > 599 || res.StatusCode == http.StatusSwitchingProtocols {
			t.Fatalf("status %d", res.StatusCode)
		}
		if err := checkFields(res.Header, BadFieldName); err != nil {
			t.Fatal(err)
		}
		again, err := parse(serialize(res))
		if err != nil {
			t.Fatalf("not parsed again: %v", err)
		}
		if again.StatusCode != res.StatusCode || !reflect.DeepEqual(again.Header, res.Header) {
			t.Fatalf("%v is %v when it is parsed again", res.Header, again.Header)
		}
	})
}

// checkInParts checks a head whose bytes arrive one by one.
func checkInParts(received []byte) (length int, err error) {
	var h Head
	for i := range received {
		if length, err = h.Check(received[:i+1]); err != nil || length > 0 {
			return length, err
		}
	}
	return 0, nil
}

func parse(head []byte) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), &http.Request{Method: http.MethodHead})
}

// serialize returns the head of a response without what tells the framing.
func serialize(res *http.Response) []byte {
	var b bytes.Buffer
	io.WriteString(&b, "HTTP/1.1 "+res.Status+"\r\n")
	for name, values := range res.Header {
		for _, value := range values {
			io.WriteString(&b, name+": "+value+"\r\n")
		}
	}
	io.WriteString(&b, "\r\n")
	return b.Bytes()
}
