package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
)

// countingConnector counts how often a server is heard.
type countingConnector struct {
	directConnector
	heard *atomic.Int32
}

func (c countingConnector) Heard(backend.Instance) { c.heard.Add(1) }

// TestPartsOfAStreamShowThatTheServerIsHeard guards against a daemon that takes its path to all servers for
// lost because some crashed, while streams of others go on.
func TestPartsOfAStreamShowThatTheServerIsHeard(t *testing.T) {
	next := make(chan struct{})
	s := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
		for range 2 {
			<-next
			io.WriteString(c, "event")
		}
	})
	var heard atomic.Int32
	pool := NewPool(Config{
		Connector: countingConnector{heard: &heard}, Metrics: metrics.NewRegistry(), Observe: func(Observation) {},
		ParseNotice: func(int, http.Header) backend.Notice { return backend.Notice{} },
	})
	conn, err := pool.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	resp, err := pool.Do(t.Context(), conn, request("1"), 0)
	assert.NilError(t, err)
	assert.Equal(t, heard.Load(), int32(1))
	for i := range 2 {
		next <- struct{}{}
		_, err = io.ReadFull(resp, make([]byte, len("event")))
		assert.NilError(t, err)
		assert.Assert(t, heard.Load() >= int32(2+i))
	}
}
