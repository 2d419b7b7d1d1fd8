package mirror

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"github.com/vmihailenco/msgpack/v5"

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

// position tells a peer how far the sender's copy goes.
type position struct {
	At uint64
	// Away is set when the sender does not reach the store.
	Away bool
}

// Kind implements peer.Message.
func (*position) Kind() peer.Kind { return peer.KindMirrorPosition }

// request asks for what changed after a revision.
type request struct {
	After uint64
}

// Kind implements peer.Message.
func (*request) Kind() peer.Kind { return peer.KindMirrorRequest }

// answer carries changes.
type answer struct {
	At uint64
	// Complete is set when Packed holds all records.
	Complete bool
	// Packed is a compressed list of records.
	Packed []byte
}

// Kind implements peer.Message.
func (*answer) Kind() peer.Kind { return peer.KindMirrorAnswer }

// Exchange keeps copies of daemons equal while the store is away for some.
type Exchange struct {
	copy   *Copy
	bus    peer.Bus
	peers  func() []string
	log    *log.Logger
	cancel context.CancelFunc
	done   chan struct{}
	served metrics.Counter
	taken  metrics.Counter
}

// NewExchange registers the message handlers. Peers lists the live daemons
// without the local one.
func NewExchange(c *Copy, bus peer.Bus, peers func() []string, logger *log.Logger, registry metrics.Registry) *Exchange {
	x := &Exchange{
		copy: c, bus: bus, peers: peers, log: logger, done: make(chan struct{}),
		served: metrics.GetOrRegisterCounter("mirror.served_to_peers", registry),
		taken:  metrics.GetOrRegisterCounter("mirror.taken_from_peers", registry),
	}
	bus.Handle(peer.KindMirrorPosition, func() peer.Message { return new(position) }, x.onPosition)
	bus.Handle(peer.KindMirrorRequest, func() peer.Message { return new(request) }, x.onRequest)
	bus.Handle(peer.KindMirrorAnswer, func() peer.Message { return new(answer) }, x.onAnswer)
	return x
}

// Start implements kernel.Service.
func (x *Exchange) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	x.cancel = cancel
	go x.run(ctx)
	return nil
}

// Stop implements kernel.Service.
func (x *Exchange) Stop(context.Context) error {
	x.cancel()
	<-x.done
	return nil
}

func (x *Exchange) run(ctx context.Context) {
	defer close(x.done)
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			x.round()
		}
	}
}

// round tells a few peers how far the local copy goes. Only a daemon without
// the store has something to learn, so only such a daemon speaks first.
func (x *Exchange) round() {
	status := x.copy.Status()
	if !status.Away {
		return
	}
	peers := x.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, name := range peers[:min(exchangeFanout, len(peers))] {
		x.send(name, &position{At: uint64(status.At), Away: true})
	}
}

func (x *Exchange) send(to string, m peer.Message) {
	if err := x.bus.Send(to, m); err != nil {
		x.log.Debug("mirror message was not sent", "daemon", to, "err", err)
	}
}

// onPosition answers a peer that is behind, or asks one that is ahead.
func (x *Exchange) onPosition(from string, m peer.Message) {
	p := m.(*position)
	status := x.copy.Status()
	switch {
	case p.At < uint64(status.At):
		x.answer(from, store.Revision(p.At))
	case p.At > uint64(status.At) && status.Away:
		x.send(from, &request{After: uint64(status.At)})
	}
}

func (x *Exchange) onRequest(from string, m peer.Message) {
	x.answer(from, store.Revision(m.(*request).After))
}

func (x *Exchange) answer(to string, after store.Revision) {
	changes, at, complete := x.copy.Since(after)
	packed, err := pack(changes)
	if err != nil {
		x.log.Error("records were not packed for a peer", "daemon", to, "err", err)
		return
	}
	x.served.Inc(1)
	x.send(to, &answer{At: uint64(at), Complete: complete, Packed: packed})
}

func (x *Exchange) onAnswer(from string, m peer.Message) {
	a := m.(*answer)
	if store.Revision(a.At) <= x.copy.Status().At {
		return
	}
	records, err := unpack(a.Packed)
	if err != nil {
		x.log.Error("records of a peer were not read", "daemon", from, "err", err)
		return
	}
	x.taken.Inc(1)
	x.log.Info("records taken from a peer", "daemon", from, "revision", a.At, "records", len(records), "complete", a.Complete)
	if a.Complete {
		x.copy.Replace(records, store.Revision(a.At), time.Now())
		return
	}
	x.copy.Merge(records, store.Revision(a.At), time.Now())
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
