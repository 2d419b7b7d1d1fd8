package daemon

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/internal/standin/engine"
	standinplatform "github.com/jacinththread/jacinththread/internal/standin/platform"
)

func TestEveryDaemonServesStreamsAndCallsOnce(t *testing.T) {
	d := newDeployment(t)
	d.start(3)
	for _, daemon := range d.daemons {
		assert.Assert(t, !daemon.ready(d), "%s is ready without a bundle", daemon.settings.Name)
	}
	d.rollFirstBundle()
	for i, daemon := range d.daemons {
		prompt := fmt.Sprintf("question %d", i)
		assert.Equal(t, daemon.chat(d, prompt, 7), wantText(prompt, 7))
		// Requests with the same idempotency key run once, whichever daemon
		// receives them.
		res, err := daemon.post(d, "/services/ledger/fees", `{"fee": 12}`, "Idempotency-Key", "fee-1")
		assert.NilError(t, err)
		body, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusOK, string(body))
		assert.Equal(t, res.Header.Get("Jacinththread-Run"), "ran")
	}
	assert.Equal(t, len(d.ledger.Runs()), 1)
}

func TestPlannedStopCompletesAStreamInFlight(t *testing.T) {
	t.Parallel()
	const tokens = 40
	d := newDeployment(t)
	d.start(3)
	d.rollFirstBundle()
	gap := 100 // Milliseconds. The stream outlasts the TTL of directory entries.
	for _, e := range d.engines {
		e.SetFaults(engine.Faults{TokenGapMs: &gap})
	}
	leaving, staying := d.daemons[0], d.daemons[1:]
	res, err := leaving.post(d, chatPath, chatBody("long", tokens))
	assert.NilError(t, err)
	defer res.Body.Close()
	stream := bufio.NewReader(res.Body)
	first, err := stream.ReadString('\n')
	assert.NilError(t, err)

	begun := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.kernel.Stop(t.Context()) }()
	leaving.stopped = true
	refusedAt := make(chan time.Time, 1)
	go func() { refusedAt <- firstRefusal(t, leaving.settings.Listen.Callers) }()
	for _, daemon := range staying {
		d.wait(daemon.settings.Name+" lists only the remaining daemons", func() bool {
			return slices.Equal(daemon.entries(d), []string{"entry-2", "entry-3"})
		})
	}
	// The listener must stay open until callers' cached entries have expired.
	openFor := (<-refusedAt).Sub(begun)
	assert.Assert(t, openFor >= entryTTL, "connections were refused %s after the stop began, before entries expired", openFor)

	rest, err := io.ReadAll(stream)
	assert.NilError(t, err)
	assert.Equal(t, completeText(t, first+string(rest)), wantText("long", tokens))
	assert.NilError(t, <-stopped)
	assert.Assert(t, strings.Contains(d.logs.String(), `msg="daemon changed" host=entry-2 daemon=entry-1 from=alive to=leaving`))
	for _, daemon := range staying {
		assert.Equal(t, daemon.chat(d, "after", 3), wantText("after", 3))
	}
}

// firstRefusal connects repeatedly and returns the time of the first refused
// connection.
func firstRefusal(t *testing.T, addr string) time.Time {
	for t.Context().Err() == nil {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return time.Now()
		}
		conn.Close()
		time.Sleep(pollInterval)
	}
	return time.Time{}
}

func TestStopCutShortReportsRequestsInFlight(t *testing.T) {
	d := newDeployment(t)
	d.start(1)
	d.rollFirstBundle()
	for _, e := range d.engines {
		e.SetFaults(engine.Faults{HangAfter: 1})
	}
	daemon := d.daemons[0]
	res, err := daemon.post(d, chatPath, chatBody("long", 10))
	assert.NilError(t, err)
	defer res.Body.Close()
	s := *daemon.settings
	s.Stop.TimeoutMs = 700
	ctx, cancel := stopContext(&s, nil)
	defer cancel()
	daemon.stopped = true
	assert.ErrorContains(t, daemon.kernel.Stop(ctx), "planned stop was cut short with 1 requests in flight")
	assert.Assert(t, strings.Contains(d.logs.String(), `msg="planned stop was cut short" host=entry-1 requests_cut=1`), d.logs.String())
	body, err := io.ReadAll(res.Body)
	assert.Assert(t, err != nil || !strings.Contains(string(body), "[DONE]"), "an aborted response must not look complete")
}

func TestHeadersAreBounded(t *testing.T) {
	d := newDeployment(t)
	d.start(1)
	d.rollFirstBundle()
	daemon := d.daemons[0]
	// net/http accepts 4096 bytes more than the limit.
	res, err := daemon.post(d, chatPath, chatBody("x", 1), "Flood", strings.Repeat("f", 4*maxHeader))
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, daemon.chat(d, "still served", 3), wantText("still served", 3))
}

func TestSlowRequestsTimeOut(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	s := d.newSettings("entry-1")
	s.Callers.ReadTimeoutMs = 1000
	d.startDaemon(s)
	d.rollFirstBundle()
	head := "POST " + chatPath + " HTTP/1.1\r\nHost: entry\r\n"
	full := head + "Authorization: Bearer " + customerToken + "\r\nContent-Length: 100\r\n\r\n{"
	operatorBody := "POST /v1/bundle/proposals HTTP/1.1\r\nHost: entry\r\nContent-Length: 100\r\n"
	callers, operators := s.Listen.Callers, s.Listen.Operators
	for _, c := range []struct{ name, addr, sent, status string }{
		{"headers", callers, head, ""},
		{"body", callers, full, "HTTP/1.1 408 "},
		{"operators' headers", operators, operatorBody, ""},
		{"operators' body", operators, operatorBody + "Authorization: Bearer demo-operator-a\r\n\r\n{", "HTTP/1.1 400 "},
		{"strangers' body", operators, operatorBody + "\r\n{", "HTTP/1.1 401 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", c.addr)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = conn.Write([]byte(c.sent))
			assert.NilError(t, err)
			// The deadline only ends a test that hangs; the result does not depend on it.
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(pollTimeout)))
			response, err := io.ReadAll(conn)
			assert.NilError(t, err, "the daemon did not close the connection")
			assert.Assert(t, strings.HasPrefix(string(response), c.status), string(response))
			assert.Assert(t, !strings.Contains(string(response), "200 OK"), string(response))
		})
	}
}

// net/http cancels the request context when the caller closes its sending side,
// although the caller may still read. It must not receive an empty response that
// looks like a success.
func TestHalfClosedConnectionGetsNoEmptyResponse(t *testing.T) {
	d := newDeployment(t)
	d.start(1)
	d.rollFirstBundle()
	for _, e := range d.engines {
		e.SetFaults(engine.Faults{HangAfter: 1})
	}
	conn, err := net.Dial("tcp", d.daemons[0].settings.Listen.Callers)
	assert.NilError(t, err)
	defer conn.Close()
	body := strings.Replace(chatBody("x", 5), `"stream": true`, `"stream": false`, 1)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		chatPath, customerToken, len(body), body)
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(pollTimeout)))
	response, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(response), "")
}

func TestStartDuringStoreOutageTakesTheBundleFromPeers(t *testing.T) {
	d := newDeployment(t)
	d.start(2)
	d.rollFirstBundle()
	d.platform.SetFaults(standinplatform.Faults{Down: true})
	d.start(1)
	d.wait("the new daemon is ready", func() bool { return d.daemons[2].ready(d) })
	d.wait("the new daemon knows the backend servers", func() bool {
		return slices.Equal(d.daemons[2].gauges(d, "membership.servers.live"), []int64{3})
	})
	assert.Equal(t, d.daemons[2].chat(d, "outage", 4), wantText("outage", 4))
	res, err := d.daemons[2].post(d, "/services/ledger/fees", "{}", "Idempotency-Key", "fee-2")
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(d.ledger.Runs()), 0)
	d.platform.SetFaults(standinplatform.Faults{})
}

func TestPlannedStopLeavesNoGoroutine(t *testing.T) {
	d := newDeployment(t)
	before := goleak.IgnoreCurrent()
	d.start(2)
	d.rollFirstBundle()
	d.daemons[0].chat(d, "x", 2)
	res, err := d.daemons[0].post(d, "/services/ledger/fees", "{}", "Idempotency-Key", "fee-3")
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())
	for _, daemon := range d.daemons {
		daemon.stopped = true
		assert.NilError(t, daemon.kernel.Stop(t.Context()))
	}
	d.http.CloseIdleConnections()
	d.kv.Close()
	// go-metrics updates all meters of the process in one goroutine, which never
	// ends.
	goleak.VerifyNone(t, before, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// The read timeout covers reading a request with its body. It must not abort an
// operator's request that then waits for a slow store.
func TestSlowStoreDoesNotCutOperatorCalls(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	s := d.newSettings("entry-1")
	s.Callers.ReadTimeoutMs = 500
	d.startDaemon(s)
	d.rollFirstBundle()
	d.platform.SetFaults(standinplatform.Faults{LatencyMs: 300})
	proposal, err := json.Marshal(map[string]any{"change_id": "second", "base": 1, "content": bundleText})
	assert.NilError(t, err)
	for _, c := range []struct {
		method, path string
		body         []byte
		status       int
	}{
		{http.MethodPost, "/v1/bundle/proposals", proposal, http.StatusCreated},
		{http.MethodGet, "/v1/bundle/history", nil, http.StatusOK},
	} {
		req, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+s.Listen.Operators+c.path, bytes.NewReader(c.body))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer demo-operator-a")
		begun := time.Now()
		res, err := d.http.Do(req)
		assert.NilError(t, err)
		response, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Assert(t, time.Since(begun) > time.Duration(s.Callers.ReadTimeoutMs)*time.Millisecond, "%s: response came before the read timeout, so the store is not slow enough for this test", c.path)
		assert.Equal(t, res.StatusCode, c.status, string(response))
	}
}
