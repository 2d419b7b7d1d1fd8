package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// probeAfterHeartbeats is the time without a reply after which the sender
// requests a heartbeat, in heartbeat intervals. Receivers reply within one
// interval.
const probeAfterHeartbeats = 1.5

// session is an established connection of a link. Times are in nanoseconds since
// start and never zero, so that zero means unset.
type session struct {
	link  *link
	conn  net.Conn
	start time.Time
	// wake signals the writer that the session is due for a check.
	wake chan struct{}
	// unansweredSince is the time of the first write since the last reply, or
	// zero if there was none.
	unansweredSince atomic.Int64
	lastMessage     atomic.Int64
	lastWrite       atomic.Int64
}

// serve writes queued messages to a connection until it fails, gets no reply in
// time or is idle.
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

// readReplies reads the replies of the peer and resets the time without a reply.
func (s *session) readReplies(r *bufio.Reader) error {
	var buf []byte
	for {
		frame, err := readFrame(r, buf, maxHandshakeBytes)
		if err != nil {
			return err
		}
		buf = frame
		s.unansweredSince.Store(0)
		s.link.node.metrics.bytesReceived.Inc(int64(len(frame) + 1))
	}
}

// write sends queued messages and runs the checks that are due.
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

// flush writes all queued messages in one call.
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

// send writes encoded frames and starts the time without a reply unless it is
// running.
func (s *session) send(b []byte) error {
	now := s.now()
	s.lastWrite.Store(now)
	s.unansweredSince.CompareAndSwap(0, now)
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.link.node.cfg.silenceTimeout())); err != nil {
		return err
	}
	written, err := s.conn.Write(b)
	s.link.node.metrics.bytesSent.Inc(int64(written))
	return err
}

// due reports whether the session needs a check.
func (s *session) due() bool {
	cfg, now := &s.link.node.cfg, s.now()
	if since := s.unansweredSince.Load(); since != 0 {
		return float64(now-since) >= probeAfterHeartbeats*float64(cfg.Heartbeat)
	}
	return now-s.lastMessage.Load() >= int64(cfg.IdleTimeout) || now-s.lastWrite.Load() >= int64(cfg.KeepAlive)
}

// check returns errSilent if the peer has not replied in time and errIdle if the
// link is idle. Otherwise it requests a heartbeat.
func (s *session) check() error {
	cfg, now := &s.link.node.cfg, s.now()
	since := s.unansweredSince.Load()
	if since != 0 && now-since >= int64(cfg.silenceTimeout()) {
		return errSilent
	}
	if since == 0 && now-s.lastMessage.Load() >= int64(cfg.IdleTimeout) {
		return errIdle
	}
	frame, err := AppendFrame(nil, &heartbeat{})
	if err != nil {
		return err
	}
	return s.send(frame)
}
