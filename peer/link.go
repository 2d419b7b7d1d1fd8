package peer

import (
	"bufio"
	"errors"
	"net"
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
