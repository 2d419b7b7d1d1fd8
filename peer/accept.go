package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// maxHandshakes bounds the accepted connections that are not authenticated
	// yet.
	maxHandshakes = 512
	// receiveBufferBytes is the read buffer of an accepted link, in bytes.
	receiveBufferBytes = 4 << 10
	acceptRetryDelay   = 50 * time.Millisecond
)

// accept serves incoming connections until the listener is closed.
func (n *Node) accept(l net.Listener) {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.cfg.Log.Error("accepting a peer connection failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case handshakes <- struct{}{}:
			n.running.Go(func() { n.serveInbound(conn, handshakes) })
		default:
			n.metrics.handshakeRefused.Inc(1)
			conn.Close()
		}
	}
}

// serveInbound authenticates an accepted connection and handles its messages
// until it fails or the node stops.
func (n *Node) serveInbound(conn net.Conn, handshakes <-chan struct{}) {
	defer conn.Close()
	defer context.AfterFunc(n.ctx, func() { conn.Close() })()
	limited := &deadlineReader{
		conn:    conn,
		timeout: n.cfg.KeepAlive + n.cfg.silenceTimeout(),
		onRead:  func(read int) { n.metrics.bytesReceived.Inc(int64(read)) },
	}
	r := bufio.NewReaderSize(limited, receiveBufferBytes)
	h, err := n.authenticate(conn, r)
	<-handshakes
	from := h.From
	if err != nil {
		n.metrics.handshakeRefused.Inc(1)
		n.cfg.Log.Warn("peer handshake failed", "peer", from, "addr", conn.RemoteAddr(), "err", err)
		return
	}
	if h.Purpose == streamPurpose {
		limited.timeout = 0
		n.serveStream(from, conn, r)
		return
	}
	in := &inbound{conn: conn}
	if !n.addInbound(from, in) {
		return
	}
	defer n.removeInbound(from, in)
	err = n.receive(from, in, r)
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		n.cfg.Log.Warn("peer link failed while receiving", "peer", from, "err", err)
	}
}

// authenticate runs the acceptor's side of the handshake and returns the hello
// of the dialer. It closes the connection if the handshake takes longer than
// handshakeTimeout.
func (n *Node) authenticate(conn net.Conn, r *bufio.Reader) (hello, error) {
	timer := time.AfterFunc(handshakeTimeout, func() { conn.Close() })
	defer timer.Stop()
	return acceptHandshake(conn, r, &n.cfg)
}

// receive handles messages until the connection fails, and always returns a
// non-nil error. It replies to a heartbeat at once; the reply to other messages
// is left to the heartbeat loop.
func (n *Node) receive(from string, in *inbound, r *bufio.Reader) error {
	reply, err := AppendFrame(nil, &heartbeat{Reply: true})
	if err != nil {
		return err
	}
	var buf []byte
	for {
		frame, err := readFrame(r, buf, maxFrameBytes)
		if err != nil {
			return err
		}
		if buf = frame; cap(buf) > maxPooledBytes {
			buf = nil
		}
		if len(frame) >= frameHeaderBytes && Kind(frame[1]) == KindHeartbeat {
			err = n.reply(in.conn, reply)
		} else {
			in.replyPending.Store(true)
			err = n.dispatch(from, frame)
		}
		if err != nil {
			return err
		}
	}
}

// addInbound registers an accepted link. An older link from the same peer is
// closed, as the peer dials again only after it has given up the old connection.
// It reports false when the node is stopping.
func (n *Node) addInbound(from string, in *inbound) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	if old := n.inbound[from]; old != nil {
		old.conn.Close()
	}
	n.inbound[from] = in
	return true
}

func (n *Node) removeInbound(from string, in *inbound) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inbound[from] == in {
		delete(n.inbound, from)
	}
}
