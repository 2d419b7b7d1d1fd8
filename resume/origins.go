// Package resume remembers which software version of a service began a stream, so that the
// stream continues only at that version, also at another daemon and after the daemon that began
// it is gone.
//
// The daemon that relays a stream's first event sends the version to a few daemons, chosen by
// consistent hashing of the stream's ID. A daemon that a caller asks to resume the stream asks
// these daemons. What none of them knows is unknown; it is never guessed.
package resume

import (
	"sync"
	"time"
)

const (
	// keepTime is how long a version is kept. Callers take a stream up within the deadline
	// of its first request, or not at all.
	keepTime = time.Minute
	// maxStreams bounds the streams that a daemon remembers for itself and others.
	maxStreams = 1 << 15
)

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the version of the server's software.
	Version string
}

// known reports whether the origin says enough to continue the stream.
func (o Origin) known() bool { return o.Service != "" && o.Version != "" }

// origins is a bounded memory of the origins of streams. It is safe for concurrent use.
type origins struct {
	mu       sync.Mutex
	byStream map[string]stored
	// order holds the streams in the order in which they were stored.
	order []expiry
}

type stored struct {
	origin Origin
	at     time.Time
}

// expiry is the time at which a stream was stored.
type expiry struct {
	stream string
	at     time.Time
}

func newOrigins() *origins { return &origins{byStream: map[string]stored{}} }

// put stores where a stream began. The first origin stays: a stream begins once.
func (o *origins) put(stream string, origin Origin, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	if _, known := o.byStream[stream]; known {
		return
	}
	o.byStream[stream] = stored{origin, now}
	o.order = append(o.order, expiry{stream, now})
}

// get returns where a stream began.
func (o *origins) get(stream string, now time.Time) (Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.expire(now)
	s, ok := o.byStream[stream]
	return s.origin, ok
}

// expire removes old streams, and the oldest ones if there are too many.
func (o *origins) expire(now time.Time) {
	drop := 0
	for drop < len(o.order) && (now.Sub(o.order[drop].at) > keepTime || len(o.order)-drop >= maxStreams) {
		delete(o.byStream, o.order[drop].stream)
		drop++
	}
	o.order = o.order[drop:]
}

// size returns the number of streams.
func (o *origins) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byStream)
}
