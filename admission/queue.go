// Package admission holds requests at the daemon until servers have slots for them.
//
// It answers bursts in which the slots of a service are nearly all in use. A request that is sent then
// waits at one server, from which nobody takes it back when another server has a free slot; one that is
// refused comes back after a delay that knows nothing of the slots. A request in the queue goes to
// whichever server has room first, and the most urgent one goes first.
//
// A request waits only while it is likely to start in time, and the queue is bounded in requests, in
// bytes and by the time at which each request has to start. Everything else is refused at once.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Limits bounds a queue.
type Limits struct {
	// Requests is the largest number of requests.
	Requests int
	// Bytes is the largest total size of their bodies.
	Bytes int64
}

// Entry is a request that waits.
type Entry struct {
	// Urgency is the rank of the request at the servers, from 0, the most urgent.
	Urgency int
	// OverShare is set if the customer of the request has offered more than its share.
	OverShare bool
	// StartBy is the latest time at which the request can start and be in time.
	StartBy time.Time
	// Bytes is the size of the request's body.
	Bytes int64
	// seq orders requests that are otherwise equal by their arrival.
	seq uint64
}

// compare orders requests: the most urgent first, then those of customers within their shares, then those
// that have to start first.
func compare(a, b *Entry) int {
	return cmp.Or(
		cmp.Compare(a.Urgency, b.Urgency),
		compareBools(a.OverShare, b.OverShare),
		a.StartBy.Compare(b.StartBy),
		cmp.Compare(a.seq, b.seq),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Queue holds the waiting requests of one service in the order in which they are served. The zero value is
// an empty queue. It isn't safe for concurrent use.
type Queue struct {
	entries []*Entry
	bytes   int64
	seq     uint64
}

// Len returns the number of requests.
func (q *Queue) Len() int { return len(q.entries) }

// Head returns the request that is served next, or nil.
func (q *Queue) Head() *Entry {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[0]
}

// Ahead returns the number of requests that are served before a new one.
func (q *Queue) Ahead(e *Entry) int {
	n, _ := slices.BinarySearchFunc(q.entries, e, func(other, e *Entry) int {
		if compare(other, &Entry{Urgency: e.Urgency, OverShare: e.OverShare, StartBy: e.StartBy, seq: q.seq + 1}) < 0 {
			return -1
		}
		return 1
	})
	return n
}

// Push adds a request. If there are too many, those that are served last are removed and returned, which may be
// the request itself.
func (q *Queue) Push(e *Entry, l Limits) (removed []*Entry) {
	q.seq++
	e.seq = q.seq
	i, _ := slices.BinarySearchFunc(q.entries, e, compare)
	q.entries = slices.Insert(q.entries, i, e)
	q.bytes += e.Bytes
	for len(q.entries) > l.Requests || q.bytes > l.Bytes {
		last := q.entries[len(q.entries)-1]
		q.Remove(last)
		removed = append(removed, last)
	}
	return removed
}

// Remove removes a request. It reports false if the request isn't in the queue.
func (q *Queue) Remove(e *Entry) bool {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	q.bytes -= e.Bytes
	return true
}

// TakeLate removes and returns the requests that can't start in time any more.
func (q *Queue) TakeLate(now time.Time) []*Entry {
	var late []*Entry
	for _, e := range slices.Clone(q.entries) {
		if now.After(e.StartBy) {
			q.Remove(e)
			late = append(late, e)
		}
	}
	return late
}

// Pace tells how quickly slots become free for the requests of the local daemon.
type Pace struct {
	// Interval is the time between two slots of which the local daemon may use one.
	Interval time.Duration
	// Share is the share of such slots that requests of the class get.
	Share float64
}

// MayStart reports whether a request that others precede is likely to start in time.
func (p Pace) MayStart(now time.Time, e *Entry, ahead int) bool {
	if p.Share <= 0 || p.Interval <= 0 {
		return false
	}
	wait := time.Duration(float64(ahead+1) * float64(p.Interval) / p.Share)
	return !now.Add(wait).After(e.StartBy)
}
