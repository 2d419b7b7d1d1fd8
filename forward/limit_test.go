package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// servesWithLimit runs requests and states a rate limit.
func servesWithLimit(limit string) serverBehavior {
	return func(d *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
		d.recordRun(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: true\r\nLimit: %s\r\nContent-Length: 2\r\n\r\nok", r.id, limit)
		return true
	}
}

// runsAt returns the number of requests that a server ran.
func (d *deployment) runsAt(server string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, r := range d.runs {
		if r.server == server {
			n++
		}
	}
	return n
}

func TestRequestsBeyondARateLimitGoToOtherServers(t *testing.T) {
	d := newDeployment(t, onceRoute)
	d.addServer("limited", servesWithLimit("1"))
	d.addServer("free", serves)
	d.start()
	const requests = 60
	for i := range requests {
		assert.Equal(t, d.send("POST", "/once/", fmt.Sprint("r", i)).status, http.StatusOK)
	}
	limited := d.runsAt("limited")
	assert.Assert(t, limited >= 1 && limited <= 11, "%d requests at the limited server", limited)
	assert.Equal(t, d.runsAt("free"), requests-limited)
}

// TestRequestThatNoRateLimitPermitsIsRefused checks that the caller is told that the request
// did not run and when to return, and that the request then runs.
func TestRequestThatNoRateLimitPermitsIsRefused(t *testing.T) {
	d := newDeployment(t, onceRoute)
	d.addServer("limited", servesWithLimit("1"))
	d.start()
	assert.Equal(t, d.send("POST", "/once/", "first").status, http.StatusOK)
	refused := result{}
	for i := 0; refused.status != http.StatusServiceUnavailable; i++ {
		assert.Assert(t, i < 20, "no request is refused")
		refused = d.send("POST", "/once/", fmt.Sprint("r", i))
	}
	var seconds float64
	_, err := fmt.Sscan(refused.header.Get("Retry-After"), &seconds)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 0 && seconds <= 3, seconds)
	time.Sleep(time.Duration((seconds + 0.5) * float64(time.Second)))
	assert.Equal(t, d.send("POST", "/once/", "again").status, http.StatusOK)
	assert.Assert(t, d.runsAt("limited") <= 11)
}

// TestRefusedRequestStatesALimit checks that a server's refusal states a limit as well.
func TestRefusedRequestStatesALimit(t *testing.T) {
	d := newDeployment(t, onceRoute)
	d.addServer("limited", func(_ *deployment, c net.Conn, _ *bufio.Reader, r run) bool {
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nId: "+r.id+"\r\nNot-Run: 1\r\nLimit: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	d.addServer("free", serves)
	d.start()
	for i := range 60 {
		assert.Equal(t, d.send("POST", "/once/", fmt.Sprint("r", i)).status, http.StatusOK)
	}
	assert.Assert(t, d.arrivals-d.runsAt("free") <= 11, "%d requests at the limited server", d.arrivals-d.runsAt("free"))
}
