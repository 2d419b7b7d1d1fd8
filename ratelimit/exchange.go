package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/gossip"
	"github.com/jacinththread/jacinththread/peer"
)

// transitMargin is the longest time that a message is assumed to take. The times in it are too late
// by that time.
const transitMargin = 250 * time.Millisecond

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

// NewExchange returns the service that passes statements of servers on to the other daemons. The
// function others returns the names of the other live daemons.
func NewExchange(l *Limiter, bus peer.Bus, others func() []string, logger *log.Logger, registry metrics.Registry) *gossip.Exchange[report] {
	return gossip.New(gossip.Config[report]{
		Kind: peer.KindServerLimits, State: l, Bus: bus, Others: others, Synced: l.synced, Log: logger,
		Sent: metrics.GetOrRegisterCounter("ratelimit.messages", registry),
	})
}

// TakeChanges implements gossip.State.
func (l *Limiter) TakeChanges(limit int, now time.Time) []report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []report
	for server, known := range l.servers {
		if known.roundsLeft > 0 && len(out) < limit {
			known.roundsLeft--
			out = append(out, newReport(server, known.statement, now))
		}
	}
	return out
}

// RecordsAfter implements gossip.State. The keys are the servers' IDs.
func (l *Limiter) RecordsAfter(id string, limit int, now time.Time) ([]report, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []report
	for server, known := range l.servers {
		if server.ID > id {
			out = append(out, newReport(server, known.statement, now))
		}
	}
	slices.SortFunc(out, func(a, b report) int { return cmp.Compare(a.Server, b.Server) })
	if len(out) == 0 {
		return nil, ""
	}
	out = out[:min(limit, len(out))]
	return out, out[len(out)-1].Server
}

// Merge implements gossip.State.
func (l *Limiter) Merge(reports []report, from string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		l.apply(backend.Instance{ID: r.Server, Started: r.Started}, r.statement(now), from)
	}
}
