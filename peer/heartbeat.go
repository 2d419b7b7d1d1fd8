package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// replyTimeout bounds the write of one reply. A reply is a few bytes long, so
// the write blocks only if the peer has stopped reading.
const replyTimeout = 100 * time.Millisecond

// inbound is an accepted link, on which the peer sends messages.
type inbound struct {
	conn net.Conn
	// replyPending is set when a message was received and no reply has been sent
	// since.
	replyPending atomic.Bool
}

// runHeartbeats checks all links once per heartbeat interval. It uses one timer
// for all links, so that idle links cause no extra wakeups of the process.
func (n *Node) runHeartbeats() {
	reply, err := AppendFrame(nil, &heartbeat{Reply: true})
	if err != nil {
		n.cfg.Log.Error("encoding the heartbeat reply failed", "err", err)
		return
	}
	tick := time.NewTicker(n.cfg.Heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-tick.C:
			n.wakeSessions()
			n.sendPendingReplies(reply)
		}
	}
}

// wakeSessions wakes the writer goroutine of each session that is due for a
// check.
func (n *Node) wakeSessions() {
	n.mu.RLock()
	defer n.mu.RUnlock()
	for s := range n.sessions {
		if !s.due() {
			continue
		}
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// sendPendingReplies sends one reply on each link that has received messages
// since the previous call.
func (n *Node) sendPendingReplies(frame []byte) {
	for _, in := range n.takePendingReplies() {
		if err := n.reply(in.conn, frame); err != nil {
			in.conn.Close()
		}
	}
}

// takePendingReplies returns the links with a pending reply and clears their
// flag.
func (n *Node) takePendingReplies() []*inbound {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var out []*inbound
	for _, in := range n.inbound {
		if in.replyPending.Swap(false) {
			out = append(out, in)
		}
	}
	return out
}

// reply writes an encoded heartbeat reply to an accepted link.
func (n *Node) reply(conn net.Conn, frame []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(replyTimeout)); err != nil {
		return err
	}
	written, err := conn.Write(frame)
	n.metrics.bytesSent.Inc(int64(written))
	return err
}

func (n *Node) addSession(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sessions[s] = struct{}{}
}

func (n *Node) removeSession(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, s)
}
