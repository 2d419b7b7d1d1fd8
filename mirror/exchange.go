package mirror

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/store"
)

const (
	// exchangeInterval is the time between two rounds. A daemon whose calls to
	// the store fail receives a change within about two rounds.
	exchangeInterval = 400 * time.Millisecond
	// exchangeFanout is the number of peers asked per round by a daemon that the
	// watchers do not keep up to date.
	exchangeFanout = 4
	// watcherLag is the age of the copy from which a daemon asks any peers as well.
	// The store, or a watcher that reads it, keeps the copy younger.
	watcherLag = time.Second
	// maxUnpackedBytes limits the decompressed size of a response.
	maxUnpackedBytes = 16 << 20
)

// position carries the revision of the sender's copy and requests all later
// changes.
type position struct {
	At uint64
}

// Kind implements peer.Message.
func (*position) Kind() peer.Kind { return peer.KindMirrorPosition }

// response carries the requested changes and the age of the sender's copy.
type response struct {
	// At is the revision up to which the changes are complete.
	At uint64
	// AgeMs is the time in milliseconds since the sender's copy was known to be
	// current.
	AgeMs int64
	// Unused keeps the position of a field that older versions read and write.
	Unused bool
	// Complete is set when Packed holds all records instead of changes.
	Complete bool
	// Packed is a list of records in msgpack, compressed with gzip. It is empty
	// if the receiver has the sender's revision or a later one.
	Packed []byte
	// ConfirmedMs is for how many milliseconds, up to AgeMs ago, the sender's copy
	// was confirmed without an outage of the store. Daemons of older versions do not
	// send it.
	ConfirmedMs int64
}

// Kind implements peer.Message.
func (*response) Kind() peer.Kind { return peer.KindMirrorResponse }

// confirmation returns when the sender's copy was current, by the local clock.
func (r *response) confirmation(now time.Time) Confirmation {
	asOf := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	return Confirmation{AsOf: asOf, Since: asOf.Add(-time.Duration(r.ConfirmedMs) * time.Millisecond)}
}

// Exchange updates the copy from peers on daemons that cannot reach the store or
// do not watch it.
type Exchange struct {
	*kernel.Periodic
	copy     *Copy
	bus      peer.Bus
	peers    func() []string
	watchers func() Watchers
	log      *log.Logger
	served   metrics.Counter
	taken    metrics.Counter
}

// NewExchange returns an exchange that has not started and registers its message
// handlers. The peers function returns the live daemons without the local one.
func NewExchange(c *Copy, bus peer.Bus, peers func() []string, watchers func() Watchers, logger *log.Logger, registry metrics.Registry) *Exchange {
	x := &Exchange{
		copy: c, bus: bus, peers: peers, watchers: watchers, log: logger,
		served: metrics.GetOrRegisterCounter("mirror.served_to_peers", registry),
		taken:  metrics.GetOrRegisterCounter("mirror.taken_from_peers", registry),
	}
	x.Periodic = kernel.NewPeriodic(exchangeInterval, func(time.Time) { x.queryPeers() })
	bus.Handle(peer.KindMirrorPosition, func() peer.Message { return new(position) }, x.onPosition)
	bus.Handle(peer.KindMirrorResponse, func() peer.Message { return new(response) }, x.onResponse)
	return x
}

// queryPeers requests changes from other daemons: from one random watcher unless the
// local daemon is one, and from exchangeFanout random peers if the local copy is not
// kept up to date.
func (x *Exchange) queryPeers() {
	status := x.copy.Status()
	watchers := x.watchers()
	var targets []string
	if !watchers.Self {
		targets = peer.Sample(watchers.Others, 1)
	}
	if needsAnyPeer(status, watchers) {
		targets = append(targets, peer.Sample(x.peers(), exchangeFanout)...)
	}
	for _, name := range targets {
		x.send(name, &position{At: uint64(status.Revision)})
	}
}

// Announce tells exchangeFanout random peers the revision of the local copy. Those that are
// behind and kept up to date by nothing else request the changes.
func (x *Exchange) Announce() {
	at := x.copy.Status().Revision
	for _, name := range peer.Sample(x.peers(), exchangeFanout) {
		x.send(name, &position{At: uint64(at)})
	}
}

// needsAnyPeer reports whether neither the store nor a watcher keeps the local copy
// up to date. A call to the store may take longer than watcherLag to fail.
func needsAnyPeer(status Status, watchers Watchers) bool {
	return watchers.Self && status.StoreUnavailable || time.Since(status.Updated) > watcherLag
}

func (x *Exchange) send(to string, m peer.Message) {
	if err := x.bus.Send(to, m); err != nil {
		x.log.Debug("sending a mirror message failed", "daemon", to, "err", err)
	}
}

// onPosition sends a peer the changes after its revision and the age of the local
// copy. It requests the changes of a peer that is ahead if nothing else keeps
// the copy up to date.
func (x *Exchange) onPosition(from string, m peer.Message) {
	after := store.Revision(m.(*position).At)
	status := x.copy.Status()
	if after > status.Revision && needsAnyPeer(status, x.watchers()) {
		x.send(from, &position{At: uint64(status.Revision)})
		return
	}
	if status.Revision == 0 {
		return
	}
	resp := &response{
		At: uint64(status.Revision), AgeMs: time.Since(status.Updated).Milliseconds(),
		ConfirmedMs: status.Updated.Sub(status.OutageEnd).Milliseconds(),
	}
	if after < status.Revision {
		changes, at, complete := x.copy.ChangesSince(after)
		packed, err := pack(changes)
		if err != nil {
			x.log.Error("encoding records for a peer failed", "daemon", from, "err", err)
			return
		}
		resp.At, resp.Complete, resp.Packed = uint64(at), complete, packed
		x.served.Inc(1)
	}
	x.send(from, resp)
}

// onResponse merges the response of a peer into the local copy.
func (x *Exchange) onResponse(from string, m peer.Message) {
	resp := m.(*response)
	now := time.Now()
	x.copy.RecordPeer(now)
	status := x.copy.Status()
	confirmed := resp.confirmation(now)
	at := store.Revision(resp.At)
	if at < status.Revision {
		return
	}
	if at == status.Revision {
		x.copy.Merge(nil, at, confirmed)
		return
	}
	records, err := unpack(resp.Packed)
	if err != nil {
		x.log.Error("decoding records from a peer failed", "daemon", from, "err", err)
		return
	}
	x.taken.Inc(1)
	behind := needsAnyPeer(status, x.watchers())
	if behind {
		x.log.Info("records taken from a peer", "daemon", from, "revision", resp.At, "records", len(records), "complete", resp.Complete, "age_ms", resp.AgeMs)
	}
	if x.apply(resp.Complete, records, at, confirmed) && behind {
		x.Announce()
	}
}

// apply merges the records of a peer into the copy and reports whether records changed.
func (x *Exchange) apply(complete bool, records []store.Entry, at store.Revision, confirmed Confirmation) (changed bool) {
	if complete {
		return x.copy.Replace(records, at, confirmed)
	}
	return x.copy.Merge(records, at, confirmed)
}

func pack(records []store.Entry) ([]byte, error) {
	var buf bytes.Buffer
	z, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := msgpack.NewEncoder(z).Encode(records); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func unpack(packed []byte) ([]store.Entry, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	var records []store.Entry
	if err := msgpack.NewDecoder(io.LimitReader(z, maxUnpackedBytes)).Decode(&records); err != nil {
		return nil, fmt.Errorf("decode records: %w", err)
	}
	return records, nil
}
