package httpstore_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standinplatform "github.com/jacinththread/jacinththread/internal/standin/platform"
	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/httpstore"
)

// countingWriter adds up the bytes of a response body.
type countingWriter struct {
	http.ResponseWriter
	bytes *int
}

func (w countingWriter) Write(b []byte) (int, error) {
	*w.bytes += len(b)
	return w.ResponseWriter.Write(b)
}

// An unchanged host list must not be transferred again. The list has 132 KB at
// the design size and each poller requests it every second.
func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	standin := standinplatform.New()
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		standin.Handler().ServeHTTP(countingWriter{w, &sent}, r)
	}))
	defer server.Close()
	c, err := httpstore.New(server.URL, time.Second)
	assert.NilError(t, err)
	defer c.Close()
	list := []store.Host{{Name: "engine-1", Service: "llm", State: store.HostLive}}
	read := func() ([]store.Host, int) {
		sent = 0
		got, err := c.Hosts(context.Background())
		assert.NilError(t, err)
		return got, sent
	}
	standin.SetHosts(list)
	got, first := read()
	assert.DeepEqual(t, got, list)
	assert.Assert(t, first > 0)
	got, again := read()
	assert.DeepEqual(t, got, list)
	assert.Equal(t, again, 0)
	list[0].State = store.HostLeaving
	standin.SetHosts(list)
	got, changed := read()
	assert.DeepEqual(t, got, list)
	assert.Assert(t, changed > 0)
}
