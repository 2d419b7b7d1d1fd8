package proctest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connectTimeout limits the wait for a connection.
const connectTimeout = 3 * time.Second

// CallUntilRefused sends HTTP requests on new connections until the port refuses one. It returns
// the number of connections that were established and got no response.
func CallUntilRefused(addr string) (lost int) {
	for {
		conn, err := net.DialTimeout("tcp", addr, connectTimeout)
		if err != nil {
			return lost
		}
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		response, _ := io.ReadAll(conn)
		_ = conn.Close()
		if len(response) == 0 {
			lost++
		}
	}
}

const (
	// stops is the number of stops that CheckStops makes, callersPerStop the number of callers that call
	// in a loop during each.
	stops          = 150
	callersPerStop = 8
	// callsBeforeStop is how long callers call before the stop.
	callsBeforeStop = 3 * time.Millisecond
)

// CheckStops checks that no connection that is made while a server stops is left without a response. The
// function start starts a server and returns its address and what stops it. The stops don't overlap, but a
// stop doesn't wait for the callers of the one before: a caller whose connection request is dropped
// repeats it after a second.
func CheckStops(t *testing.T, start func(*testing.T) (addr string, stop func())) {
	t.Helper()
	var lost atomic.Int32
	var callers sync.WaitGroup
	for range stops {
		addr, stop := start(t)
		for range callersPerStop {
			callers.Go(func() { lost.Add(int32(CallUntilRefused(addr))) })
		}
		time.Sleep(callsBeforeStop)
		stop()
	}
	callers.Wait()
	assert.Equal(t, lost.Load(), int32(0), "connections without a response in %d stops", stops)
}
