package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// halfEvent is a server that takes up a stream and sends half of its first event.
type halfEvent struct {
	// rest is when it sends the rest.
	rest time.Duration
	// beganAt and cutAt are when it sent the half and when its connection was closed before the rest; zero if never.
	beganAt, cutAt atomic.Int64
}

func (h *halfEvent) behave(dep *deployment, c net.Conn, r *bufio.Reader, req run) bool {
	dep.recordRun(req)
	first := 1
	if req.last != "" {
		fmt.Sscan(req.last, &first)
		first++
	}
	events := eventsFrom(first, 6)
	half := len(event(first)) / 2
	h.beganAt.Store(time.Now().UnixNano())
	fmt.Fprintf(c, streamHead, req.id, req.server)
	io.WriteString(c, chunk(events[:half]))
	c.SetReadDeadline(time.Now().Add(h.rest))
	if _, err := r.ReadByte(); err != nil && !isTimeout(err) {
		h.cutAt.Store(time.Now().UnixNano())
		return false
	}
	c.SetReadDeadline(time.Time{})
	io.WriteString(c, chunk(events[half:])+"0\r\n\r\n")
	return true
}

// TestStreamRunsAtTwoServersOnlyBriefly guards against two servers that work on a stream for long because the one that takes it up
// stops inside its first event.
func TestStreamRunsAtTwoServersOnlyBriefly(t *testing.T) {
	d := newDeployment(t, pauseRoute)
	var cut atomic.Int64
	d.addServer("a", pauses(2300*time.Millisecond, &cut))
	d.start()
	results := make(chan result, 1)
	go func() { results <- d.send("POST", "/pause/", "r1") }()
	time.Sleep(100 * time.Millisecond)
	stops := &halfEvent{rest: 10 * time.Second}
	d.addServer("b", stops.behave)
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventsFrom(1, 6))
	assert.Equal(t, cut.Load(), int64(0), "the sound run was cut")
	assert.Assert(t, stops.beganAt.Load() > 0 && stops.cutAt.Load() > 0)
	both := time.Duration(stops.cutAt.Load() - stops.beganAt.Load())
	assert.Assert(t, both < 300*time.Millisecond, "both servers worked for %v", both)
}

// TestStreamIsTakenUpAfterABriefPauseInsideAnEvent guards against a replacement that is given up although it goes on.
func TestStreamIsTakenUpAfterABriefPauseInsideAnEvent(t *testing.T) {
	pauses := &halfEvent{rest: maxBothRun / 5}
	d, cut, got := startPausing(t, 10*time.Second, pauses.behave)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventsFrom(1, 6))
	assert.Equal(t, len(d.runsOf("r1")), 2)
	assert.Equal(t, pauses.cutAt.Load(), int64(0))
	for cut.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	both := time.Duration(cut.Load() - pauses.beganAt.Load())
	assert.Assert(t, both < 300*time.Millisecond, "both servers worked for %v", both)
}

// TestReplacementIsKeptOnceTheSilentServerHasEnded guards against giving up the only run that is left.
func TestReplacementIsKeptOnceTheSilentServerHasEnded(t *testing.T) {
	d := newDeployment(t, pauseRoute)
	d.addServer("a", func(dep *deployment, c net.Conn, _ *bufio.Reader, req run) bool {
		dep.recordRun(req)
		fmt.Fprintf(c, streamHead, req.id, req.server)
		io.WriteString(c, chunk(eventsFrom(1, 3)))
		time.Sleep(minReadTimeout + maxBothRun/5)
		return false
	})
	d.start()
	results := make(chan result, 1)
	go func() { results <- d.send("POST", "/pause/", "r1") }()
	time.Sleep(100 * time.Millisecond)
	slow := &halfEvent{rest: 3 * maxBothRun / 2}
	d.addServer("b", slow.behave)
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventsFrom(1, 6))
	assert.Equal(t, slow.cutAt.Load(), int64(0))
	assert.Equal(t, len(d.runsOf("r1")), 2)
}
