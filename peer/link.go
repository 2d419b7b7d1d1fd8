package peer

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Times of dialling.
const (
	dialTimeout     = 3 * time.Second
	firstRedial     = 50 * time.Millisecond
	maxRedial       = 5 * time.Second
	redialGrowth    = 2
	redialJitter    = 0.5
	replyReadBuffer = 64
)

var (
	errSilent = errors.New("peer link is silent")
	errIdle   = errors.New("peer link is idle")
)

// link sends messages to one peer over a connection that it dials when there
// is something to send.
type link struct {
	node  *Node
	to    string
	out   *outbox
	retry *backoff.ExponentialBackOff
	spare []byte
}

func newLink(n *Node, to string) *link {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRedial
	retry.MaxInterval = maxRedial
	retry.Multiplier = redialGrowth
	retry.RandomizationFactor = redialJitter
	return &link{node: n, to: to, out: newOutbox(n.cfg.QueueBytes), retry: retry}
}

// run dials, sends and dials again until the node stops or the link is idle.
func (l *link) run() {
	n := l.node
	for n.ctx.Err() == nil {
		if !l.awaitMessages() {
			return
		}
		conn, r, err := l.dial()
		if err != nil {
			l.dialFailed(err)
			continue
		}
		l.retry.Reset()
		err = l.serve(conn, r)
		if errors.Is(err, errIdle) || n.ctx.Err() != nil {
			continue
		}
		l.failed(err)
	}
}

// awaitMessages waits for something to send. It reports false when the link
// is over.
func (l *link) awaitMessages() bool {
	idle := time.NewTimer(l.node.cfg.IdleClose)
	defer idle.Stop()
	for {
		select {
		case <-l.node.ctx.Done():
			return false
		case <-l.out.ready:
			// The writer takes the messages once the link is up.
			l.signal()
			return true
		case <-idle.C:
			if l.node.removeLink(l) {
				return false
			}
			idle.Reset(l.node.cfg.IdleClose)
		}
	}
}

// signal marks the outbox as ready.
func (l *link) signal() {
	select {
	case l.out.ready <- struct{}{}:
	default:
	}
}

// dial connects to the peer and authenticates both ends.
func (l *link) dial() (net.Conn, *bufio.Reader, error) {
	cfg := &l.node.cfg
	addr, ok := cfg.Resolve(l.to)
	if !ok {
		return nil, nil, ErrUnknownPeer
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: false}, KeepAlive: -1}
	conn, err := d.DialContext(l.node.ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		conn.Close()
		return nil, nil, err
	}
	r := bufio.NewReaderSize(conn, replyReadBuffer)
	if err := dialHandshake(conn, r, cfg, l.to); err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, r, conn.SetDeadline(time.Time{})
}

// dialFailed drops what waits, which is late by now, and waits for the next
// try.
func (l *link) dialFailed(err error) {
	n := l.node
	if n.ctx.Err() != nil {
		return
	}
	n.metrics.dialsFailed.Inc(1)
	var frames int
	l.spare, frames = l.out.take(l.spare)
	n.metrics.messagesDropped.Inc(int64(frames))
	wait := l.retry.NextBackOff()
	n.cfg.Log.Warn("peer link was not opened", "peer", l.to, "err", err, "retry_in", wait)
	n.linkDown(l.to)
	select {
	case <-n.ctx.Done():
	case <-time.After(wait):
	}
}

// failed reports a link that was open. The next message dials again.
func (l *link) failed(err error) {
	n := l.node
	n.metrics.linksFailed.Inc(1)
	if errors.Is(err, errSilent) {
		n.metrics.linksSilent.Inc(1)
	}
	n.cfg.Log.Warn("peer link failed", "peer", l.to, "err", err)
	n.linkDown(l.to)
}

// session is one open connection of a link.
type session struct {
	link *link
	conn net.Conn
	// unanswered is when the first byte was sent that no byte answered, in
	// nanoseconds since start; zero means none.
	unanswered atomic.Int64
	start      time.Time
	// lastMessage and lastWrite belong to the writer.
	lastMessage time.Time
	lastWrite   time.Time
}

// serve writes messages until the connection fails, is silent or is idle.
func (l *link) serve(conn net.Conn, r *bufio.Reader) error {
	n := l.node
	n.metrics.linksOpen.Inc(1)
	defer n.metrics.linksOpen.Dec(1)
	now := time.Now()
	s := &session{link: l, conn: conn, start: now.Add(-1), lastMessage: now, lastWrite: now}
	closed := make(chan error, 1)
	var reader sync.WaitGroup
	reader.Go(func() { closed <- s.readReplies(r) })
	err := s.write(closed)
	conn.Close()
	reader.Wait()
	return err
}

// readReplies notes every sign of life of the peer.
func (s *session) readReplies(r *bufio.Reader) error {
	var buf []byte
	for {
		frame, err := readFrame(r, buf, maxHandshakeBytes)
		if err != nil {
			return err
		}
		buf = frame
		s.unanswered.Store(0)
		s.link.node.metrics.bytesReceived.Inc(int64(len(frame) + 1))
	}
}

func (s *session) write(closed <-chan error) error {
	l, n := s.link, s.link.node
	tick := time.NewTicker(n.cfg.Heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return s.flush()
		case err := <-closed:
			return err
		case <-l.out.ready:
			if err := s.flush(); err != nil {
				return err
			}
		case now := <-tick.C:
			if err := s.check(now); err != nil {
				return err
			}
		}
	}
}

// flush writes all waiting messages at once.
func (s *session) flush() error {
	l := s.link
	buf, frames := l.out.take(l.spare)
	l.spare = buf
	if len(buf) == 0 {
		return nil
	}
	s.lastMessage = time.Now()
	l.node.metrics.messagesSent.Inc(int64(frames))
	return s.send(buf)
}

// send writes bytes and notes since when the peer owes an answer.
func (s *session) send(b []byte) error {
	now := time.Now()
	s.lastWrite = now
	s.unanswered.CompareAndSwap(0, int64(now.Sub(s.start)))
	if err := s.conn.SetWriteDeadline(now.Add(s.link.node.cfg.silence())); err != nil {
		return err
	}
	written, err := s.conn.Write(b)
	s.link.node.metrics.bytesSent.Inc(int64(written))
	return err
}

// check sends a heartbeat when the peer owes an answer or the link has been
// quiet, and fails when the peer has owed one for too long.
func (s *session) check(now time.Time) error {
	cfg := &s.link.node.cfg
	since := s.unanswered.Load()
	if since != 0 {
		if now.Sub(s.start)-time.Duration(since) >= cfg.silence() {
			return errSilent
		}
		return s.sendHeartbeat()
	}
	if now.Sub(s.lastMessage) >= cfg.IdleClose {
		return errIdle
	}
	if now.Sub(s.lastWrite) >= cfg.KeepAlive {
		return s.sendHeartbeat()
	}
	return nil
}

func (s *session) sendHeartbeat() error {
	frame, err := AppendFrame(nil, &heartbeat{})
	if err != nil {
		return err
	}
	return s.send(frame)
}
