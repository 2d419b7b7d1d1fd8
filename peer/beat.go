package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// replyTimeout bounds the write of one reply. Replies are a few bytes, so that
// only a connection that nobody reads makes them wait.
const replyTimeout = 100 * time.Millisecond

// inbound is one accepted link.
type inbound struct {
	conn net.Conn
	// owed is set when bytes came that were not answered yet.
	owed atomic.Bool
}

// beat looks after all links once a heartbeat. One timer for all of them keeps
// quiet links from waking the process.
func (n *Node) beat() {
	reply, err := AppendFrame(nil, &heartbeat{Reply: true})
	if err != nil {
		n.cfg.Log.Error("heartbeat was not encoded", "err", err)
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
			n.replyOwed(reply)
		}
	}
}

// wakeSessions wakes the writers whose sessions are due for a check.
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

// replyOwed answers the links that received something since the last beat.
func (n *Node) replyOwed(frame []byte) {
	for _, in := range n.owing() {
		if err := n.reply(in.conn, frame); err != nil {
			in.conn.Close()
		}
	}
}

// owing returns the links that owe a reply and clears the debt.
func (n *Node) owing() []*inbound {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var out []*inbound
	for _, in := range n.inbound {
		if in.owed.Swap(false) {
			out = append(out, in)
		}
	}
	return out
}

// reply writes a sign of life to an accepted link.
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
