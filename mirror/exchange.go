package mirror

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/store"
)

const (
	// exchangeInterval is the time between two rounds. A daemon that the store
	// refuses learns of a change within about two rounds.
	exchangeInterval = 400 * time.Millisecond
	// exchangeFanout is the number of daemons told in a round.
	exchangeFanout = 2
	// maxAnswerBytes bounds what an answer of a peer may unpack to.
	maxAnswerBytes = 16 << 20
)

// position tells a peer how far the sender's copy goes, and asks for the rest.
type position struct {
	At uint64
}

// Kind implements peer.Message.
func (*position) Kind() peer.Kind { return peer.KindMirrorPosition }

// answer carries changes, and how current the sender is.
type answer struct {
	At uint64
	// AgeMs is how long ago the sender's copy was current; Away is set when it
	// does not reach the store.
	AgeMs int64
	Away  bool
	// Complete is set when Packed holds all records.
	Complete bool
	// Packed is a compressed list of records; it is empty if there are none.
	Packed []byte
}

// Kind implements peer.Message.
func (*answer) Kind() peer.Kind { return peer.KindMirrorAnswer }

// Exchange keeps copies of daemons equal while the store is away for some.
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

// NewExchange registers the message handlers. Peers lists the live daemons
// without the local one.
func NewExchange(c *Copy, bus peer.Bus, peers func() []string, watchers func() Watchers, logger *log.Logger, registry metrics.Registry) *Exchange {
	x := &Exchange{
		copy: c, bus: bus, peers: peers, watchers: watchers, log: logger,
		served: metrics.GetOrRegisterCounter("mirror.served_to_peers", registry),
		taken:  metrics.GetOrRegisterCounter("mirror.taken_from_peers", registry),
	}
	x.Periodic = kernel.NewPeriodic(exchangeInterval, func(time.Time) { x.round() })
	bus.Handle(peer.KindMirrorPosition, func() peer.Message { return new(position) }, x.onPosition)
	bus.Handle(peer.KindMirrorAnswer, func() peer.Message { return new(answer) }, x.onAnswer)
	return x
}

// round asks others for what they know. Only a daemon that does not reach the
// store, or leaves watching it to others, has something to learn.
func (x *Exchange) round() {
	status := x.copy.Status()
	watchers := x.watchers()
	if !status.Away && watchers.Self {
		return
	}
	ask := x.peers()
	if !status.Away {
		ask = slices.Clone(watchers.Others)
	}
	rand.Shuffle(len(ask), func(i, j int) { ask[i], ask[j] = ask[j], ask[i] })
	fanout := exchangeFanout
	if !status.Away {
		fanout = 1
	}
	for _, name := range ask[:min(fanout, len(ask))] {
		x.send(name, &position{At: uint64(status.At)})
	}
}

func (x *Exchange) send(to string, m peer.Message) {
	if err := x.bus.Send(to, m); err != nil {
		x.log.Debug("mirror message was not sent", "daemon", to, "err", err)
	}
}

// onPosition tells a peer what it lacks and how current that is.
func (x *Exchange) onPosition(from string, m peer.Message) {
	after := store.Revision(m.(*position).At)
	status := x.copy.Status()
	if status.At == 0 {
		return
	}
	a := &answer{At: uint64(status.At), AgeMs: time.Since(status.Updated).Milliseconds(), Away: status.Away}
	if after < status.At {
		changes, at, complete := x.copy.Since(after)
		packed, err := pack(changes)
		if err != nil {
			x.log.Error("records were not packed for a peer", "daemon", from, "err", err)
			return
		}
		a.At, a.Complete, a.Packed = uint64(at), complete, packed
		x.served.Inc(1)
	}
	x.send(from, a)
}

// onAnswer takes over what a peer knows beyond the local copy.
func (x *Exchange) onAnswer(from string, m peer.Message) {
	a := m.(*answer)
	status := x.copy.Status()
	now := time.Now()
	if !status.Away && !x.watchers().Self {
		x.copy.SetAway(a.Away, now)
	}
	asOf := now.Add(-time.Duration(a.AgeMs) * time.Millisecond)
	at := store.Revision(a.At)
	if at < status.At {
		return
	}
	if at == status.At {
		x.copy.Merge(nil, at, asOf)
		return
	}
	records, err := unpack(a.Packed)
	if err != nil {
		x.log.Error("records of a peer were not read", "daemon", from, "err", err)
		return
	}
	x.taken.Inc(1)
	if status.Away {
		x.log.Info("records taken from a peer", "daemon", from, "revision", a.At, "records", len(records), "complete", a.Complete, "age_ms", a.AgeMs)
	}
	if a.Complete {
		x.copy.Replace(records, at, asOf)
		return
	}
	x.copy.Merge(records, at, asOf)
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
	if err := msgpack.NewDecoder(io.LimitReader(z, maxAnswerBytes)).Decode(&records); err != nil {
		return nil, fmt.Errorf("decoding records: %w", err)
	}
	return records, nil
}
