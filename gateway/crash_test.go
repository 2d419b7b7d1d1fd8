package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/membership"
)

// serveEnding replaces all servers by servers that end when they get a request, and returns the number of
// requests that reached one.
func (h *harness) serveEnding(service string, count int) *atomic.Int32 {
	var reached atomic.Int32
	var servers []membership.Server
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(h.t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			reached.Add(1)
			l.Close()
			panic(http.ErrAbortHandler)
		})}
		go server.Serve(l)
		h.t.Cleanup(func() { server.Close() })
		servers = append(servers, membership.Server{Name: fmt.Sprint("ending-", i), Service: service, Addr: l.Addr().String()})
	}
	h.view.setServers(servers)
	return &reached
}

// newEndingHarness returns a harness whose servers of one service all end under the requests that they get.
func newEndingHarness(t *testing.T, service string) (*harness, *atomic.Int32) {
	h := newHarness(t)
	return h, h.serveEnding(service, 8)
}

// It guards against a completion that ends one server after the other.
func TestRepeatedCompletionThatEndsServersIsWithheld(t *testing.T) {
	h, reached := newEndingHarness(t, "llm")
	for range 6 {
		h.chat(streamedChat)
	}
	assert.Assert(t, reached.Load() <= 4, "%d servers ended", reached.Load())
	got := h.chat(streamedChat)
	assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
	assert.Equal(t, got.header.Get(HeaderRun), string(NotRun))
	assert.Equal(t, got.header.Get("Retry-After"), "")
}

// It guards against messages that end one server after the other in chats that are otherwise different.
func TestChatsWithAMessageThatEndsServersAreWithheld(t *testing.T) {
	h, reached := newEndingHarness(t, "llm")
	for i := range 6 {
		h.chat(fmt.Sprintf(`{"model":"m","stream":true,"messages":[{"role":"system","content":"bad"},{"role":"user","content":"%d"}]}`, i))
	}
	assert.Assert(t, reached.Load() <= 4, "%d servers ended", reached.Load())
}

// It guards against a call of a plain service that ends one server after the other.
func TestRepeatedCallThatEndsServersIsWithheld(t *testing.T) {
	for name, header := range map[string][]string{"repeatable": nil, "at most once": {HeaderIdempotency, "key"}} {
		t.Run(name, func(t *testing.T) {
			h, reached := newEndingHarness(t, "ledger")
			method := http.MethodGet
			if header != nil {
				method = http.MethodPost
			}
			for i := range 6 {
				own := append([]string{}, header...)
				if header != nil {
					own[1] = fmt.Sprint("key-", i)
				}
				h.call(method, "/services/ledger/entry", "", own...)
			}
			assert.Assert(t, reached.Load() <= 4, "%d servers ended", reached.Load())
		})
	}
}
