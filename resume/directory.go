package resume

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/hashring"
	"github.com/jacinththread/jacinththread/peer"
)

const (
	// copies is the number of daemons that are told where a stream began.
	copies = 3
	// queried is the number of daemons that are asked. It is larger than copies, because
	// daemons may have joined since.
	queried = 5
	// queryTimeout is how long replies are waited for.
	queryTimeout = 250 * time.Millisecond
)

// Directory stores and finds where streams began. It is safe for concurrent use.
type Directory struct {
	bus  peer.Bus
	log  *log.Logger
	ring func() *hashring.Ring
	// streams are those that this daemon began or keeps for others.
	streams *origins
	// nextQuery is the number of the last query.
	nextQuery atomic.Uint64

	mu      sync.Mutex
	queries map[uint64]chan replyMessage

	kept    metrics.Gauge
	asked   metrics.Counter
	unknown metrics.Counter
}

// New returns a Directory and registers its message handlers. The function ring returns the
// ring of the live daemons, including the local one.
func New(bus peer.Bus, ring func() *hashring.Ring, logger *log.Logger, registry metrics.Registry) *Directory {
	d := &Directory{
		bus: bus, ring: ring, log: logger, streams: newOrigins(), queries: map[uint64]chan replyMessage{},
		kept:    metrics.GetOrRegisterGauge("resume.streams", registry),
		asked:   metrics.GetOrRegisterCounter("resume.queries", registry),
		unknown: metrics.GetOrRegisterCounter("resume.unknown", registry),
	}
	bus.Handle(peer.KindStreamOrigin, func() peer.Message { return new(originMessage) }, d.receiveOrigin)
	bus.Handle(peer.KindStreamQuery, func() peer.Message { return new(queryMessage) }, d.receiveQuery)
	bus.Handle(peer.KindStreamReply, func() peer.Message { return new(replyMessage) }, d.receiveReply)
	return d
}

// Record stores where a stream began, here and at other daemons. It doesn't wait for them.
func (d *Directory) Record(stream string, origin Origin) {
	if stream == "" || !origin.known() {
		return
	}
	d.store(stream, origin)
	for _, name := range d.ring().Owners(xxhash.Sum64String(stream), copies) {
		if name != d.bus.Self() {
			d.send(name, &originMessage{Stream: stream, Service: origin.Service, Version: origin.Version})
		}
	}
}

// Lookup returns where a stream began. It returns false if neither this daemon nor those that
// should know do, or if they don't reply in time.
func (d *Directory) Lookup(ctx context.Context, stream string) (Origin, bool) {
	if stream == "" {
		return Origin{}, false
	}
	if origin, ok := d.streams.get(stream, time.Now()); ok {
		return origin, true
	}
	origin, ok := d.query(ctx, stream)
	if ok {
		d.store(stream, origin)
	} else {
		d.unknown.Inc(1)
	}
	return origin, ok
}

// query asks the daemons that should know where a stream began.
func (d *Directory) query(ctx context.Context, stream string) (Origin, bool) {
	owners := d.ring().Owners(xxhash.Sum64String(stream), queried)
	owners = slices.DeleteFunc(owners, func(name string) bool { return name == d.bus.Self() })
	number, replies := d.openQuery(len(owners))
	defer d.closeQuery(number)
	for _, name := range owners {
		d.asked.Inc(1)
		d.send(name, &queryMessage{Number: number, Stream: stream})
	}
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	for range owners {
		select {
		case r := <-replies:
			if origin := r.origin(); origin.known() {
				return origin, true
			}
		case <-timer.C:
			return Origin{}, false
		case <-ctx.Done():
			return Origin{}, false
		}
	}
	return Origin{}, false
}

// openQuery returns the number of a new query and the channel that gets its replies.
func (d *Directory) openQuery(size int) (uint64, <-chan replyMessage) {
	number := d.nextQuery.Add(1)
	replies := make(chan replyMessage, size)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queries[number] = replies
	return number, replies
}

func (d *Directory) closeQuery(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.queries, number)
}

func (d *Directory) store(stream string, origin Origin) {
	d.streams.put(stream, origin, time.Now())
	d.kept.Update(int64(d.streams.size()))
}

func (d *Directory) send(to string, m peer.Message) {
	if err := d.bus.Send(to, m); err != nil {
		d.log.Debug("sending a stream message failed", "daemon", to, "kind", m.Kind(), "err", err)
	}
}
