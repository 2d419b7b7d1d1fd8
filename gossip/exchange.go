// Package gossip spreads small sets of records among all daemons.
//
// A daemon that learns a change sends it to a few random daemons in each of several rounds. A
// fleet of any size learns it in about as many rounds as its number of daemons has digits in base
// changeFanout+1, and each daemon sends a constant number of messages. Refreshes of all records
// repair what was lost, and a daemon that starts requests all records from a few others.
package gossip

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/peer"
)

// ChangeRounds is the number of rounds in which a change is sent.
const ChangeRounds = 8

const (
	roundInterval = 100 * time.Millisecond
	// changeFanout is the number of daemons that changes are sent to in each round.
	changeFanout = 3
	// A refresh of up to refreshRecords records is sent every refreshRounds rounds to
	// refreshFanout daemons.
	refreshRounds  = 10
	refreshFanout  = 2
	refreshRecords = 32
	// A daemon that starts requests the records that others know from requestFanout daemons
	// every requestInterval, up to requestRounds times.
	requestFanout   = 3
	requestInterval = 20 * time.Millisecond
	requestRounds   = 15
	// maxRecords bounds the records in a message.
	maxRecords = 512
)

// State holds the records that an Exchange spreads. It is safe for concurrent use.
type State[R any] interface {
	// TakeChanges returns up to limit changed records to send in this round. Each change is to
	// be returned ChangeRounds times.
	TakeChanges(limit int, now time.Time) []R
	// RecordsAfter returns up to limit records that follow the record with the given key in
	// the order of keys, and the key of the last one. The empty key precedes all others.
	RecordsAfter(key string, limit int, now time.Time) (records []R, last string)
	// Merge applies records of another daemon.
	Merge(records []R, from string, now time.Time)
}

// message carries records to another daemon.
type message[R any] struct {
	Records []R
	// Request asks the receiver for all records that it knows.
	Request bool
	// Reply is set in the response to a request.
	Reply bool

	kind peer.Kind
}

// Kind implements peer.Message.
func (m *message[R]) Kind() peer.Kind { return m.kind }

// Config configures an Exchange.
type Config[R any] struct {
	// Kind is the kind of the messages.
	Kind  peer.Kind
	State State[R]
	Bus   peer.Bus
	// Others returns the names of the other live daemons.
	Others func() []string
	// Synced is opened when the records of another daemon have been received.
	Synced *Gate
	Log    *log.Logger
	// Sent counts the messages sent.
	Sent metrics.Counter
}

// Exchange is the service that spreads the records of a State.
type Exchange[R any] struct {
	*kernel.Periodic
	cfg   Config[R]
	round int
	// refreshedTo is the key of the last record of the last refresh.
	refreshedTo string
}

// New returns an exchange that has not started and registers its message handler.
func New[R any](cfg Config[R]) *Exchange[R] {
	x := &Exchange[R]{cfg: cfg}
	x.Periodic = kernel.NewPeriodic(roundInterval, x.runRound)
	cfg.Bus.Handle(cfg.Kind, func() peer.Message { return &message[R]{kind: cfg.Kind} }, x.receive)
	return x
}

// Start implements kernel.Service.
func (x *Exchange[R]) Start(ctx context.Context) error {
	go x.requestAll()
	return x.Periodic.Start(ctx)
}

// runRound sends changes, and at times a refresh.
func (x *Exchange[R]) runRound(now time.Time) {
	if changes := x.cfg.State.TakeChanges(maxRecords, now); len(changes) > 0 {
		x.sendToRandom(changeFanout, message[R]{Records: changes})
	}
	if x.round%refreshRounds == 0 {
		x.refresh(now)
	}
	x.round++
}

// refresh sends the next records in the order of their keys.
func (x *Exchange[R]) refresh(now time.Time) {
	records, last := x.cfg.State.RecordsAfter(x.refreshedTo, refreshRecords, now)
	x.refreshedTo = last
	if len(records) > 0 {
		x.sendToRandom(refreshFanout, message[R]{Records: records})
	}
}

// requestAll requests the records that other daemons know until one has replied.
func (x *Exchange[R]) requestAll() {
	tick := time.NewTicker(requestInterval)
	defer tick.Stop()
	for range requestRounds {
		x.sendToRandom(requestFanout, message[R]{Request: true})
		select {
		case <-x.cfg.Synced.opened:
			return
		case <-tick.C:
		}
	}
}

// receive applies the records of another daemon.
func (x *Exchange[R]) receive(from string, m peer.Message) {
	msg := m.(*message[R])
	now := time.Now()
	x.cfg.State.Merge(msg.Records, from, now)
	if msg.Reply {
		x.cfg.Synced.Open()
	}
	if msg.Request {
		records, _ := x.cfg.State.RecordsAfter("", maxRecords, now)
		x.send([]string{from}, message[R]{Records: records, Reply: true})
	}
}

func (x *Exchange[R]) sendToRandom(n int, m message[R]) {
	x.send(peer.Sample(x.cfg.Others(), n), m)
}

func (x *Exchange[R]) send(to []string, m message[R]) {
	m.kind = x.cfg.Kind
	x.cfg.Sent.Inc(int64(len(to)))
	if err := x.cfg.Bus.SendAll(to, &m); err != nil {
		x.cfg.Log.Debug("sending a gossip message failed", "daemons", to, "kind", m.kind, "err", err)
	}
}
