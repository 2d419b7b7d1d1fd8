package ratelimit

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/peer"
)

// Statements spread by gossip: a daemon that learns a change sends it to a few random
// daemons in each of several rounds. A fleet of any size learns it in about as many rounds as
// its number of daemons has digits in base changeFanout+1, and each daemon sends a constant
// number of messages. Refreshes repair what was lost.

const (
	roundInterval = 100 * time.Millisecond
	// changeRounds is the number of rounds in which a change is sent, changeFanout the
	// number of daemons that it is sent to in each.
	changeRounds = 8
	changeFanout = 3
	// A refresh of up to refreshLimits limits is sent every refreshRounds rounds to
	// refreshFanout daemons.
	refreshRounds = 10
	refreshFanout = 2
	refreshLimits = 32
	// A daemon that starts requests the limits that others know from requestFanout daemons
	// every requestInterval, up to requestRounds times.
	requestFanout   = 3
	requestInterval = 20 * time.Millisecond
	requestRounds   = 15
	// maxLimits bounds the limits in a message.
	maxLimits = 512
	// transitMargin is the longest time that a message is assumed to take. The times in
	// it are too late by that time.
	transitMargin = 250 * time.Millisecond
)

// report is a server's statement in a message.
type report struct {
	Server    string
	Started   int64
	Limited   bool
	PerSecond float64
	// SentAgoMs and HeardAgoMs are the ages of the statement's times when the message was
	// sent.
	SentAgoMs, HeardAgoMs int64
}

// limitsMessage reports statements of servers.
type limitsMessage struct {
	Limits []report
	// Request asks the receiver for all limits that it knows.
	Request bool
	// Reply is set in the response to a request.
	Reply bool
}

// Kind implements peer.Message.
func (*limitsMessage) Kind() peer.Kind { return peer.KindServerLimits }

func newReport(server backend.Instance, s Statement, now time.Time) report {
	return report{
		Server: server.ID, Started: server.Started, Limited: s.Limited, PerSecond: s.PerSecond,
		SentAgoMs: now.Sub(s.SentAt).Milliseconds(), HeardAgoMs: now.Sub(s.HeardAt).Milliseconds(),
	}
}

// statement converts the report. Without the margin, a message that was long in transit
// would seem newer than it is.
func (r *report) statement(now time.Time) Statement {
	return Statement{
		Limited: r.Limited, PerSecond: r.PerSecond,
		SentAt:  now.Add(-time.Duration(r.SentAgoMs)*time.Millisecond - transitMargin),
		HeardAt: now.Add(-time.Duration(r.HeardAgoMs) * time.Millisecond),
	}
}

// Exchange passes statements of servers on to the other daemons.
type Exchange struct {
	*kernel.Periodic
	limiter *Limiter
	bus     peer.Bus
	// others returns the names of the other live daemons.
	others func() []string
	log    *log.Logger
	sent   metrics.Counter
	round  int
	// refreshedTo is the last server of the last refresh.
	refreshedTo string
}

// NewExchange returns an exchange that has not started and registers its message handler.
func NewExchange(l *Limiter, bus peer.Bus, others func() []string, logger *log.Logger, registry metrics.Registry) *Exchange {
	x := &Exchange{
		limiter: l, bus: bus, others: others, log: logger,
		sent: metrics.GetOrRegisterCounter("ratelimit.messages", registry),
	}
	x.Periodic = kernel.NewPeriodic(roundInterval, x.runRound)
	bus.Handle(peer.KindServerLimits, func() peer.Message { return new(limitsMessage) }, x.receive)
	return x
}

// runRound sends changes, and at times a refresh.
func (x *Exchange) runRound(now time.Time) {
	if changes := x.limiter.takeChanges(now); len(changes) > 0 {
		x.sendToRandom(changeFanout, &limitsMessage{Limits: changes})
	}
	if x.round%refreshRounds == 0 {
		if reports := x.limiter.reportsAfter(x.refreshedTo, refreshLimits, now); len(reports) > 0 {
			x.refreshedTo = reports[len(reports)-1].Server
			x.sendToRandom(refreshFanout, &limitsMessage{Limits: reports})
		} else {
			x.refreshedTo = ""
		}
	}
	x.round++
}

// Start implements kernel.Service.
func (x *Exchange) Start(ctx context.Context) error {
	go x.requestAll()
	return x.Periodic.Start(ctx)
}

// requestAll requests the limits that other daemons know until one has replied.
func (x *Exchange) requestAll() {
	tick := time.NewTicker(requestInterval)
	defer tick.Stop()
	for range requestRounds {
		x.sendToRandom(requestFanout, &limitsMessage{Request: true})
		select {
		case <-x.limiter.synced:
			return
		case <-tick.C:
		}
	}
}

// receive applies reports of another daemon.
func (x *Exchange) receive(from string, m peer.Message) {
	msg := m.(*limitsMessage)
	now := time.Now()
	x.limiter.merge(msg.Limits, from, now)
	if msg.Reply {
		x.limiter.MarkSynced()
	}
	if msg.Request {
		x.send(from, &limitsMessage{Limits: x.limiter.reportsAfter("", maxLimits, now), Reply: true})
	}
}

func (x *Exchange) sendToRandom(n int, m peer.Message) {
	for _, name := range peer.Sample(x.others(), n) {
		x.send(name, m)
	}
}

func (x *Exchange) send(to string, m peer.Message) {
	x.sent.Inc(1)
	if err := x.bus.Send(to, m); err != nil {
		x.log.Debug("sending rate limits failed", "daemon", to, "err", err)
	}
}

// takeChanges returns the statements to send as changes in this round.
func (l *Limiter) takeChanges(now time.Time) []report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []report
	for server, known := range l.servers {
		if known.roundsLeft > 0 && len(out) < maxLimits {
			known.roundsLeft--
			out = append(out, newReport(server, known.statement, now))
		}
	}
	return out
}

// reportsAfter returns up to n statements of servers whose IDs sort after the given one.
func (l *Limiter) reportsAfter(id string, n int, now time.Time) []report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []report
	for server, known := range l.servers {
		if server.ID > id {
			out = append(out, newReport(server, known.statement, now))
		}
	}
	slices.SortFunc(out, func(a, b report) int { return cmp.Compare(a.Server, b.Server) })
	return out[:min(n, len(out))]
}

// merge applies the reports of another daemon.
func (l *Limiter) merge(reports []report, from string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		l.apply(backend.Instance{ID: r.Server, Started: r.Started}, r.statement(now), from)
	}
}
