package peer

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// arrival is the kind of a received frame and its time since the session began.
type arrival struct {
	Kind Kind
	At   time.Duration
}

// remoteEnd is the peer's end of a session in virtual time.
type remoteEnd struct {
	conn     net.Conn
	start    time.Time
	arrivals []arrival
}

// read records frames until the connection closes. Unless replyAfter is
// negative, it sends a reply that long after each frame.
func (e *remoteEnd) read(replyAfter time.Duration) {
	r := bufio.NewReader(e.conn)
	for {
		frame, err := readFrame(r, nil, maxFrameBytes)
		if err != nil {
			return
		}
		e.arrivals = append(e.arrivals, arrival{Kind(frame[1]), time.Since(e.start)})
		if replyAfter >= 0 {
			time.Sleep(replyAfter)
			_ = writeMessage(e.conn, &heartbeat{Reply: true})
		}
	}
}

// runSession runs a session that sends one message at its start, and returns the
// session's duration and error. The connection is closed after limit.
func runSession(t *testing.T, limit, replyAfter time.Duration) (*remoteEnd, time.Duration, error) {
	n, err := New(Config{Self: "a", Keys: [][]byte{make([]byte, MinKeyBytes)}, Resolve: func(string) (string, bool) { return "", false }})
	assert.NilError(t, err)
	n.running.Go(n.runHeartbeats)
	near, far := net.Pipe()
	e := &remoteEnd{conn: far, start: time.Now()}
	n.running.Go(func() { e.read(replyAfter) })
	l := newLink(n, "b")
	frame, err := AppendFrame(nil, &auth{})
	assert.NilError(t, err)
	assert.NilError(t, l.out.add(frame))
	defer time.AfterFunc(limit, func() { near.Close() }).Stop()
	err = l.serve(near, bufio.NewReader(near))
	took := time.Since(e.start)
	far.Close()
	n.cancel()
	n.running.Wait()
	return e, took, err
}

func TestUnresponsivePeerIsProbedThenDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, took, err := runSession(t, time.Hour, -1)
		assert.Assert(t, errors.Is(err, errSilent))
		assert.Equal(t, took, DefaultMaxSilentHeartbeats*DefaultHeartbeat)
		assert.DeepEqual(t, e.arrivals, []arrival{{KindAuth, 0}, {KindHeartbeat, 2 * time.Second}})
	})
}

func TestResponsivePeerIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, took, _ := runSession(t, 9*time.Second, time.Second)
		assert.Equal(t, took, 9*time.Second)
		assert.DeepEqual(t, e.arrivals, []arrival{{KindAuth, 0}})
	})
}

func TestQuietSessionIsKeptAliveThenClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, took, err := runSession(t, time.Hour, 0)
		assert.Assert(t, errors.Is(err, errIdle))
		assert.Equal(t, took, DefaultIdleTimeout)
		assert.Equal(t, len(e.arrivals), 1+int((DefaultIdleTimeout-1)/DefaultKeepAlive))
	})
}

// TestReceiverRepliesWithoutRequest checks that a receiver replies to messages
// within a heartbeat interval, and only once for all messages in it.
func TestReceiverRepliesWithoutRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, err := New(Config{Self: "b", Keys: [][]byte{make([]byte, MinKeyBytes)}, Resolve: func(string) (string, bool) { return "", false }})
		assert.NilError(t, err)
		n.running.Go(n.runHeartbeats)
		near, far := net.Pipe()
		in := &inbound{conn: near}
		assert.Assert(t, n.addInbound("a", in))
		n.running.Go(func() { _ = n.receive("a", in, bufio.NewReader(near)) })
		e := &remoteEnd{conn: far, start: time.Now()}
		n.running.Go(func() { e.read(-1) })
		for range 5 {
			assert.NilError(t, writeMessage(far, &auth{}))
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, e.arrivals, []arrival{{KindHeartbeat, time.Second}})
		near.Close()
		far.Close()
		n.cancel()
		n.running.Wait()
	})
}
