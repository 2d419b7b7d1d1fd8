package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/route"
)

var (
	onceRoute   = route.Route{Name: "once", Prefix: "/once/", Kind: route.NonIdempotent, Timeout: 2 * time.Second, Target: 50 * time.Millisecond, MaxAttempts: 2}
	repeatRoute = route.Route{Name: "repeat", Prefix: "/repeat/", Kind: route.Idempotent, Timeout: 2 * time.Second, Target: 50 * time.Millisecond, MaxAttempts: 2}
	streamRoute = route.Route{Name: "stream", Prefix: "/stream/", Kind: route.Streaming, Timeout: 5 * time.Second, Target: 50 * time.Millisecond, GapTarget: 50 * time.Millisecond, MaxAttempts: 2}
	resumeRoute = route.Route{Name: "resume", Prefix: "/resume/", Kind: route.Streaming, Resumable: true, Timeout: 5 * time.Second, Target: 50 * time.Millisecond, GapTarget: 50 * time.Millisecond, MaxAttempts: 3}
)

func TestRelaysResponseUnchanged(t *testing.T) {
	d := newDeployment(t, onceRoute)
	d.addServer("a", respondsWith("HTTP/1.1 418 I'm a teapot\r\nId: $ID\r\nSeal: s\r\nOther: x\r\nContent-Length: 3\r\n\r\nabc"))
	d.start()
	got := d.send("POST", "/once/1", "r1", "Wait", "900")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 418)
	assert.Equal(t, got.body, "abc")
	assert.Equal(t, got.header.Get("Seal"), "s")
	assert.Equal(t, got.header.Get("Other"), "x")
	runs := d.runsOf("r1")
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].customer, "customer")
	assert.Equal(t, runs[0].key, "")
	assert.Assert(t, runs[0].wait > 0 && runs[0].wait <= 900)
}

// TestOwnRefusals checks the error responses that the router generates before
// it sends a request to a server.
func TestOwnRefusals(t *testing.T) {
	anonymous := route.Route{Name: "open", Prefix: "/open/", Anonymous: true}
	d := newDeployment(t, onceRoute, anonymous)
	d.start()
	assert.Equal(t, d.send("GET", "/none/", "r1").status, http.StatusNotFound)
	got := d.send("GET", "/once/", "r2")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "no server")
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, got.header.Get("Id"), "r2")
	d.config.Customers[0].Keys = []string{"another"}
	d.table = route.Compile(&d.config)
	assert.Equal(t, d.send("GET", "/once/", "r3").status, http.StatusUnauthorized)
	assert.Equal(t, d.send("GET", "/open/", "r4").status, http.StatusServiceUnavailable, "no key needed")
	d.table = nil
	got = d.send("GET", "/none/", "r5")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "no configuration")
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestUnknownOutcomesPromiseNothing checks that a request that must not be
// repeated is not sent again once it may have run, and that the response is a
// 502 or 504 without Retry-After and without a server signature.
func TestUnknownOutcomesPromiseNothing(t *testing.T) {
	for name, f := range map[string]serverBehavior{
		"reset":            resets,
		"closed":           respondsWith(""),
		"half a body":      respondsWith("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Length: 30\r\n\r\nhalf"),
		"no signature":     respondsWith("HTTP/1.1 200 OK\r\nId: $ID\r\nContent-Length: 2\r\n\r\nok"),
		"of another":       respondsWith("HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok"),
		"garbage":          respondsWith("\x01\x02\x03\r\n\r\n"),
		"unstated refusal": respondsWith("HTTP/1.1 503 Service Unavailable\r\nId: $ID\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"),
		"429":              respondsWith("HTTP/1.1 429 Too Many Requests\r\nId: $ID\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"),
		"hangs":            hangs,
	} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t, onceRoute, streamRoute)
				d.addServer("a", f)
				d.addServer("b", f)
				d.start()
				got := d.send("POST", path, "r1", "Wait", "300")
				assert.Assert(t, got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout, "%+v", got)
				assert.Equal(t, got.header.Get("Seal"), "")
				assert.Equal(t, got.header.Get("Retry-After"), "")
				assert.Equal(t, len(d.runsOf("r1")), 1)
			})
		}
	}
}

func TestRetriesIdempotentRequests(t *testing.T) {
	for name, f := range map[string]serverBehavior{
		"reset":        resets,
		"half a body":  respondsWith("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Length: 30\r\n\r\nhalf"),
		"no signature": respondsWith("HTTP/1.1 200 OK\r\nId: $ID\r\nContent-Length: 2\r\n\r\nok"),
		"error":        respondsWith("HTTP/1.1 500 Internal Server Error\r\nId: $ID\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"),
		"refuses":      refuses,
		"hangs":        hangs,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, repeatRoute)
			d.addServer("a", f)
			d.addServer("b", serves)
			d.start()
			for i := range 5 {
				got := d.send("GET", "/repeat/", fmt.Sprint("r", i))
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, "answer")
			}
		})
	}
}

func TestRelaysServerErrorWhenRetriesFail(t *testing.T) {
	d := newDeployment(t, repeatRoute)
	for _, id := range []string{"a", "b", "c"} {
		d.addServer(id, respondsWith("HTTP/1.1 500 Internal Server Error\r\nId: $ID\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad"))
	}
	d.start()
	got := d.send("GET", "/repeat/", "r1")
	assert.Equal(t, got.status, http.StatusInternalServerError)
	assert.Equal(t, got.header.Get("Seal"), "s")
	assert.Equal(t, got.body, "bad")
	assert.Equal(t, len(d.runsOf("r1")), repeatRoute.MaxAttempts)
}

// TestRetriesRefusedRequests checks that a request is retried after a server
// stated that it did not run it, even on a route whose requests must not be
// repeated.
func TestRetriesRefusedRequests(t *testing.T) {
	d := newDeployment(t, onceRoute)
	d.addServer("a", refuses)
	d.addServer("b", refuses)
	d.addServer("c", serves)
	d.start()
	for i := range 10 {
		id := fmt.Sprint("r", i)
		got := d.send("POST", "/once/", id)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, len(d.runsOf(id)), 1)
	}
}

func TestRequestRefusedByAllServers(t *testing.T) {
	d := newDeployment(t, onceRoute)
	d.addServer("a", refuses)
	d.addServer("b", refuses)
	d.start()
	got := d.send("POST", "/once/", "r1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0)
	assert.Equal(t, len(d.runsOf("r1")), 0)
}

func TestBudgetBoundsRetries(t *testing.T) {
	d := newDeployment(t, repeatRoute)
	d.limit.Ratio, d.limit.Allowance = 0, 5
	for _, id := range []string{"a", "b", "c"} {
		d.addServer(id, resets)
	}
	d.start()
	const requests = 30
	for i := range requests {
		d.send("GET", "/repeat/", fmt.Sprint("r", i))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Assert(t, d.arrivals <= requests+int(d.limit.Allowance), "%d arrivals", d.arrivals)
}

// TestNoRequestRunsTwice uses servers with random behavior. Requests that must
// not be repeated run at most once, a status that implies that the request did
// not run is never sent for one that ran, and every complete response belongs
// to its request.
func TestNoRequestRunsTwice(t *testing.T) {
	behaviors := []serverBehavior{
		serves, refuses, resets, respondsWith(""), respondsWith("HTTP/1.1 200 OK\r\nSeal: s\r\nId: $ID\r\nContent-Length: 9\r\n\r\nhalf"),
		respondsWith("HTTP/1.1 500 Oops\r\nId: $ID\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"),
		respondsWith("HTTP/1.1 503 Busy\r\nId: $ID\r\nContent-Length: 0\r\n\r\n"),
	}
	next := 0
	rapid.Check(t, func(rt *rapid.T) {
		d := newDeployment(t, onceRoute, repeatRoute)
		n := rapid.IntRange(1, 4).Draw(rt, "servers")
		for i := range n {
			// Each server changes its behavior from request to request.
			plan := rapid.SliceOfN(rapid.IntRange(0, len(behaviors)-1), 1, 4).Draw(rt, "plan")
			turn := 0
			d.addServer(fmt.Sprint(i), func(d *deployment, c net.Conn, r *bufio.Reader, req run) bool {
				d.mu.Lock()
				f := behaviors[plan[turn%len(plan)]]
				turn++
				d.mu.Unlock()
				return f(d, c, r, req)
			})
		}
		d.start()
		defer d.ingress.Stop(t.Context())
		for range 6 {
			next++
			id := fmt.Sprint("r", next)
			path := rapid.SampledFrom([]string{"/once/", "/repeat/"}).Draw(rt, "path")
			got := d.send("POST", path, id)
			runs := len(d.runsOf(id))
			if path == "/once/" && runs > 1 {
				rt.Fatalf("request ran %d times", runs)
			}
			if impliesNotRun(got.status) && path == "/once/" && runs > 0 {
				rt.Fatalf("status %d for a request that ran", got.status)
			}
			if runs > repeatRoute.MaxAttempts {
				rt.Fatalf("request ran %d times", runs)
			}
			if got.err == nil && got.status == http.StatusOK && (got.body != "answer" || got.header.Get("Id") != id) {
				rt.Fatalf("unexpected response: %+v", got)
			}
		}
	})
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	d := newDeployment(t, onceRoute)
	d.addServer("a", serves)
	d.addServer("b", serves)
	d.start()
	for _, s := range d.catalog.Ready("s") {
		if s.ID == "a" {
			leaving := *s
			leaving.Draining = true
			d.put(leaving)
		}
	}
	for i := range 10 {
		id := fmt.Sprint("r", i)
		assert.Equal(t, d.send("POST", "/once/", id).status, http.StatusOK)
		assert.Equal(t, d.runsOf(id)[0].server, "b")
	}
}

// TestUnreachableServerFailsNoRequest checks that a failed dial is retried at
// another server without taking from the retry budget.
func TestUnreachableServerFailsNoRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	assert.NilError(t, l.Close())
	d := newDeployment(t, onceRoute)
	d.limit.Ratio, d.limit.Allowance = 0, 0
	d.addServer("b", serves)
	d.put(backend.Server{ID: "a", Service: "s", Addr: addr})
	d.start()
	for i := range 10 {
		assert.Equal(t, d.send("POST", "/once/", fmt.Sprint("r", i)).status, http.StatusOK)
	}
}

// maxWorkAfterDisconnect is how long a server may continue to work after the
// caller has closed its connection.
const maxWorkAfterDisconnect = 500 * time.Millisecond

// TestServerLearnsThatTheCallerLeft checks that the connection to the server is
// closed when the caller disconnects, so that the server can stop working on
// the request.
func TestServerLearnsThatTheCallerLeft(t *testing.T) {
	stopped := make(chan struct{})
	d := newDeployment(t, onceRoute)
	d.addServer("a", func(d *deployment, _ net.Conn, r *bufio.Reader, req run) bool {
		d.recordRun(req)
		r.ReadByte()
		close(stopped)
		return false
	})
	d.start()
	c, err := net.Dial("tcp", d.ingress.Addr())
	assert.NilError(t, err)
	_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: key\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	for len(d.runsOf("r1")) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, c.Close())
	select {
	case <-stopped:
	case <-time.After(maxWorkAfterDisconnect):
		t.Fatalf("the server still works %s after the caller has left", maxWorkAfterDisconnect)
	}
}

// TestTimeoutOfTheRouteIsKept checks that a route's timeout applies even if the
// caller states a longer deadline.
func TestTimeoutOfTheRouteIsKept(t *testing.T) {
	short := onceRoute
	short.Timeout = 150 * time.Millisecond
	d := newDeployment(t, short)
	d.addServer("a", hangs)
	d.start()
	start := time.Now()
	got := d.send("POST", "/once/", "r1", "Wait", "10000")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(start) < short.Timeout+500*time.Millisecond)
	assert.Assert(t, d.runsOf("r1")[0].wait <= 150)
}

func TestRelaysLargeResponses(t *testing.T) {
	body := strings.Repeat("0123456789", 100_000)
	d := newDeployment(t, onceRoute)
	d.addServer("a", respondsWith("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body))
	d.start()
	got := d.send("POST", "/once/", "r1")
	assert.NilError(t, got.err)
	assert.Assert(t, got.body == body)
}
