package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/httpcheck"
)

// FuzzResponse sends any bytes as the response to a request. No response to another request and no malformed one may be
// returned, and the body ends.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Unavailable\r\nId: 2\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	for _, responses := range malformedResponses {
		for _, response := range responses {
			f.Add([]byte(response))
		}
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		p := newPool()
		client, server := net.Pipe()
		defer server.Close()
		go io.Copy(io.Discard, server)
		go func() {
			server.Write(response)
			server.Close()
		}()
		c := p.newConn(&backend.Server{ID: "s", Service: "s"}, Link{Conn: client})
		resp, err := p.Do(ctx, c, request("1"), time.Second)
		if err != nil {
			return
		}
		defer resp.Close()
		id := resp.Header.Get("Id")
		if id != "" && id != "1" || !resp.Attributed {
			t.Fatalf("response with ID %q, attributed %v", id, resp.Attributed)
		}
		if resp.Status < http.StatusOK || resp.Status > 599 {
			t.Fatalf("status %d", resp.Status)
		}
		if err := httpcheck.CheckTrailer(resp.Header); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp); err == nil && ctx.Err() != nil {
			t.Fatal("the body did not end")
		}
	})
}
