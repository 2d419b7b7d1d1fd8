package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Parameters of dialling. The delay between attempts grows exponentially.
const (
	dialTimeout      = 3 * time.Second
	minRedialDelay   = 50 * time.Millisecond
	maxRedialDelay   = 5 * time.Second
	redialMultiplier = 2
	redialJitter     = 0.5
	replyBufferBytes = 64
)

var (
	errSilent = errors.New("peer sent no reply within the silence timeout")
	errIdle   = errors.New("peer link is idle")
)

// link sends messages to one peer. It dials a connection when there are messages
// to send.
type link struct {
	node  *Node
	to    string
	out   *outbox
	retry *backoff.ExponentialBackOff
	spare []byte
}

func newLink(n *Node, to string) *link {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRedialDelay
	retry.MaxInterval = maxRedialDelay
	retry.Multiplier = redialMultiplier
	retry.RandomizationFactor = redialJitter
	return &link{node: n, to: to, out: newOutbox(n.cfg.QueueBytes), retry: retry}
}

// run dials and sends messages, and dials again after a failure, until the node
// stops or the link is idle.
func (l *link) run() {
	n := l.node
	for n.ctx.Err() == nil {
		if !l.awaitMessages() {
			return
		}
		conn, r, err := n.dial(n.ctx, l.to, linkPurpose, replyBufferBytes)
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

// awaitMessages waits until a message is queued. It reports false when the link
// was removed as idle or the node stops.
func (l *link) awaitMessages() bool {
	idle := time.NewTimer(l.node.cfg.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.node.ctx.Done():
			return false
		case <-l.out.ready:
			// Signal again: the session writer takes the messages after dialling.
			l.signal()
			return true
		case <-idle.C:
			if l.node.removeLink(l) {
				return false
			}
			idle.Reset(l.node.cfg.IdleTimeout)
		}
	}
}

// signal marks the outbox as ready without blocking.
func (l *link) signal() {
	select {
	case l.out.ready <- struct{}{}:
	default:
	}
}

// dial connects to a peer and authenticates both ends.
func (n *Node) dial(ctx context.Context, to string, p purpose, bufferBytes int) (net.Conn, *bufio.Reader, error) {
	addr, ok := n.cfg.Resolve(to)
	if !ok {
		return nil, nil, ErrUnknownPeer
	}
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: false}, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		conn.Close()
		return nil, nil, err
	}
	r := bufio.NewReaderSize(conn, bufferBytes)
	if err := dialHandshake(conn, r, &n.cfg, to, p); err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, r, conn.SetDeadline(time.Time{})
}

// dialFailed drops the queued messages, which are outdated by now, reports the
// link as down and waits for the retry delay.
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
	n.cfg.Log.Warn("opening the peer link failed", "peer", l.to, "err", err, "retry_in", wait)
	n.linkDown.Notify(l.to)
	select {
	case <-n.ctx.Done():
	case <-time.After(wait):
	}
}

// failed reports the failure of an established connection. The next message
// makes the link dial again.
func (l *link) failed(err error) {
	n := l.node
	n.metrics.linksFailed.Inc(1)
	if errors.Is(err, errSilent) {
		n.metrics.linksSilent.Inc(1)
	}
	n.cfg.Log.Warn("peer link failed", "peer", l.to, "err", err)
	n.linkDown.Notify(l.to)
}
