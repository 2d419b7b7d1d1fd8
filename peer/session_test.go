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

// arrival is a frame and when it came, since the start of the session.
type arrival struct {
	Kind Kind
	At   time.Duration
}

// farEnd is the other end of a session in virtual time.
type farEnd struct {
	conn     net.Conn
	start    time.Time
	arrivals []arrival
}

// read collects frames until the connection closes. It sends a sign of life
// after each frame if answerAfter is not negative.
func (e *farEnd) read(answerAfter time.Duration) {
	r := bufio.NewReader(e.conn)
	for {
		frame, err := readFrame(r, nil, maxFrameBytes)
		if err != nil {
			return
		}
		e.arrivals = append(e.arrivals, arrival{Kind(frame[1]), time.Since(e.start)})
		if answerAfter >= 0 {
			time.Sleep(answerAfter)
			_ = writeMessage(e.conn, &heartbeat{Reply: true})
		}
	}
}

// runSession opens a session that sends one message at its start, and returns
// how and when it ended. It is closed from outside after limit.
func runSession(t *testing.T, limit, answerAfter time.Duration) (*farEnd, time.Duration, error) {
	n, err := New(Config{Self: "a", Keys: [][]byte{make([]byte, MinKeyBytes)}, Resolve: func(string) (string, bool) { return "", false }})
	assert.NilError(t, err)
	n.done.Go(n.beat)
	near, far := net.Pipe()
	e := &farEnd{conn: far, start: time.Now()}
	n.done.Go(func() { e.read(answerAfter) })
	l := newLink(n, "b")
	frame, err := AppendFrame(nil, &auth{})
	assert.NilError(t, err)
	assert.NilError(t, l.out.add(frame))
	defer time.AfterFunc(limit, func() { near.Close() }).Stop()
	err = l.serve(near, bufio.NewReader(near))
	took := time.Since(e.start)
	far.Close()
	n.cancel()
	n.done.Wait()
	return e, took, err
}

func TestSilentSessionIsAskedThenAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, took, err := runSession(t, time.Hour, -1)
		assert.Assert(t, errors.Is(err, errSilent))
		assert.Equal(t, took, DefaultMaxSilent*DefaultHeartbeat)
		assert.DeepEqual(t, e.arrivals, []arrival{{KindAuth, 0}, {KindHeartbeat, 2 * time.Second}})
	})
}

func TestAnsweredSessionIsNotAsked(t *testing.T) {
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
		assert.Equal(t, took, DefaultIdleClose)
		assert.Equal(t, len(e.arrivals), 1+int((DefaultIdleClose-1)/DefaultKeepAlive))
	})
}

// TestReceiverAnswersUnasked checks that a received message is answered within
// a heartbeat, once for all messages of that time.
func TestReceiverAnswersUnasked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, err := New(Config{Self: "b", Keys: [][]byte{make([]byte, MinKeyBytes)}, Resolve: func(string) (string, bool) { return "", false }})
		assert.NilError(t, err)
		n.done.Go(n.beat)
		near, far := net.Pipe()
		in := &inbound{conn: near}
		assert.Assert(t, n.addInbound("a", in))
		n.done.Go(func() { _ = n.receive("a", in, bufio.NewReader(near)) })
		e := &farEnd{conn: far, start: time.Now()}
		n.done.Go(func() { e.read(-1) })
		for range 5 {
			assert.NilError(t, writeMessage(far, &auth{}))
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.DeepEqual(t, e.arrivals, []arrival{{KindHeartbeat, time.Second}})
		near.Close()
		far.Close()
		n.cancel()
		n.done.Wait()
	})
}
