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

// countingConnector counts the parts of bodies that arrive.
type countingConnector struct {
	directConnector
	received *atomic.Int32
}

func (c countingConnector) Received() { c.received.Add(1) }

// It guards against daemons that take their path to all servers for lost while streams go on.
func TestPartsOfAStreamAreReported(t *testing.T) {
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
	var received atomic.Int32
	pool := NewPool(Config{
		Connector: countingConnector{received: &received}, Metrics: metrics.NewRegistry(), Observe: func(Observation) {},
		ParseNotice: func(int, http.Header) backend.Notice { return backend.Notice{} },
	})
	conn, err := pool.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	resp, err := pool.Do(t.Context(), conn, request("1"), 0)
	assert.NilError(t, err)
	assert.Equal(t, received.Load(), int32(0))
	for i := range 2 {
		next <- struct{}{}
		_, err = io.ReadFull(resp, make([]byte, len("event")))
		assert.NilError(t, err)
		assert.Assert(t, received.Load() > int32(i))
	}
}
