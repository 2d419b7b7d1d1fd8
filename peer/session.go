package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// askAfter is the time that sent bytes may stay unanswered before the sender
// asks for a sign of life, in heartbeats. Receivers answer within one.
const askAfter = 1.5

// session is one open connection of a link. Times are in nanoseconds since
// start and never zero, so that zero can mean none.
type session struct {
	link  *link
	conn  net.Conn
	start time.Time
	// wake tells the writer that the session is due for a check.
	wake chan struct{}
	// unanswered is when the first byte was sent that no byte answered.
	unanswered  atomic.Int64
	lastMessage atomic.Int64
	lastWrite   atomic.Int64
}

// serve writes messages until the connection fails, is silent or is idle.
func (l *link) serve(conn net.Conn, r *bufio.Reader) error {
	n := l.node
	n.metrics.linksOpen.Inc(1)
	defer n.metrics.linksOpen.Dec(1)
	s := &session{link: l, conn: conn, start: time.Now().Add(-1), wake: make(chan struct{}, 1)}
	s.lastMessage.Store(s.now())
	s.lastWrite.Store(s.now())
	n.addSession(s)
	defer n.removeSession(s)
	closed := make(chan error, 1)
	var reader sync.WaitGroup
	reader.Go(func() { closed <- s.readReplies(r) })
	err := s.write(closed)
	conn.Close()
	reader.Wait()
	return err
}

func (s *session) now() int64 { return int64(time.Since(s.start)) }

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
	for {
		select {
		case <-s.link.node.ctx.Done():
			return s.flush()
		case err := <-closed:
			return err
		case <-s.link.out.ready:
			if err := s.flush(); err != nil {
				return err
			}
		case <-s.wake:
			if err := s.check(); err != nil {
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
	s.lastMessage.Store(s.now())
	l.node.metrics.messagesSent.Inc(int64(frames))
	return s.send(buf)
}

// send writes bytes and notes since when the peer owes an answer.
func (s *session) send(b []byte) error {
	now := s.now()
	s.lastWrite.Store(now)
	s.unanswered.CompareAndSwap(0, now)
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.link.node.cfg.silence())); err != nil {
		return err
	}
	written, err := s.conn.Write(b)
	s.link.node.metrics.bytesSent.Inc(int64(written))
	return err
}

// due reports whether check has something to do.
func (s *session) due() bool {
	cfg, now := &s.link.node.cfg, s.now()
	if since := s.unanswered.Load(); since != 0 {
		return float64(now-since) >= askAfter*float64(cfg.Heartbeat)
	}
	return now-s.lastMessage.Load() >= int64(cfg.IdleClose) || now-s.lastWrite.Load() >= int64(cfg.KeepAlive)
}

// check closes an idle link, abandons a silent one, and else asks the peer for
// a sign of life.
func (s *session) check() error {
	cfg, now := &s.link.node.cfg, s.now()
	since := s.unanswered.Load()
	if since != 0 && now-since >= int64(cfg.silence()) {
		return errSilent
	}
	if since == 0 && now-s.lastMessage.Load() >= int64(cfg.IdleClose) {
		return errIdle
	}
	frame, err := AppendFrame(nil, &heartbeat{})
	if err != nil {
		return err
	}
	return s.send(frame)
}
