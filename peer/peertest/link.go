package peertest

import (
	"container/heap"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/peer"
)

// envelope is an encoded message in flight.
type envelope struct {
	from, to *bus
	frame    []byte
	due      time.Time
	// seq orders the envelopes of a link that are due at the same time.
	seq uint64
}

// link carries envelopes in one direction, in the order of their due times.
type link struct {
	// cut is set while messages are dropped. It is guarded by the network's lock.
	cut bool

	mu    sync.Mutex
	queue envelopes
	seq   uint64
	// delivering is held during a delivery, so that the handlers of one link don't
	// run concurrently.
	delivering sync.Mutex
}

func (l *link) push(e envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	e.seq = l.seq
	heap.Push(&l.queue, e)
}

func (l *link) pop() envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	return heap.Pop(&l.queue).(envelope)
}

// schedule queues an envelope for delivery after the network's delay.
func (n *Network) schedule(e envelope) {
	n.mu.Lock()
	wait := n.delay
	if n.jitter > 0 {
		wait += time.Duration(n.rng.Int64N(int64(n.jitter)))
	}
	l := n.link(e.from.name, e.to.name)
	n.mu.Unlock()
	e.due = time.Now().Add(wait)
	l.push(e)
	if wait == 0 {
		go n.deliver(l) // A timer of 0 crashes the race detector within a synctest bubble.
		return
	}
	time.AfterFunc(wait, func() { n.deliver(l) })
}

// deliver dispatches the envelope of a link that is due first.
func (n *Network) deliver(l *link) {
	l.delivering.Lock()
	defer l.delivering.Unlock()
	e := l.pop()
	if !n.admit(l, e) {
		return
	}
	frame, _, err := peer.NextFrame(e.frame)
	if err != nil {
		panic(err)
	}
	kind, payload, err := peer.SplitFrame(frame)
	if err != nil {
		panic(err)
	}
	if _, err := e.to.handlers.Dispatch(e.from.name, kind, payload); err != nil {
		panic(err)
	}
}

// admit reports whether an envelope may be delivered now, and counts it if so.
// Envelopes to a paused node are held until it resumes.
func (n *Network) admit(l *link, e envelope) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.cut || e.to.removed || e.from.removed {
		return false
	}
	if e.to.paused {
		e.to.held = append(e.to.held, e)
		return false
	}
	s := n.statsOf(e.to.name)
	s.MessagesReceived++
	s.BytesReceived += len(e.frame)
	return true
}

// envelopes is a heap ordered by due time and then by sequence number.
type envelopes []envelope

// Len implements heap.Interface.
func (q envelopes) Len() int { return len(q) }

// Less implements heap.Interface.
func (q envelopes) Less(i, j int) bool {
	if !q[i].due.Equal(q[j].due) {
		return q[i].due.Before(q[j].due)
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q envelopes) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *envelopes) Push(x any) { *q = append(*q, x.(envelope)) }

// Pop implements heap.Interface.
func (q *envelopes) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
