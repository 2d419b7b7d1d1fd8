package metering

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/election"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/store"
)

// Role is the role of the daemon that reports usage.
const Role = "metering"

// ReportsKey is the key of the stored reports.
const ReportsKey = "metering/reports"

const (
	leaderTick = 250 * time.Millisecond
	// storeTimeout and reportTimeout bound a call to the store and a report.
	storeTimeout  = 1500 * time.Millisecond
	reportTimeout = 1500 * time.Millisecond
	// maxStored is the number of reports kept in the store and in memory.
	maxStored = 8
)

// Report is the usage in one window. The counts of a window never change once it is stored.
type Report struct {
	// Window is the number of the window.
	Window int64 `json:"window"`
	// Counts holds the number of requests that servers began, by customer.
	Counts map[string]int64 `json:"counts"`
}

// Total returns the number of requests of all customers.
func (r *Report) Total() int64 {
	sum := int64(0)
	for _, n := range r.Counts {
		sum += n
	}
	return sum
}

// ErrRejected means that the receiver will not take a report, however often it is repeated.
var ErrRejected = errors.New("usage report was rejected")

// Reporter sends a report to the platform. It checks the term right before it sends. Repeating a report is safe.
type Reporter interface {
	ReportUsage(ctx context.Context, t *election.Term, r *Report) error
}

// Config configures a Leader.
type Config struct {
	Windows  Windows
	Store    store.Transactor
	Reporter Reporter
	// Term returns the local daemon's term, or nil while another one leads.
	Term func() *election.Term
	// Daemons returns the addresses of the live daemons, including the local one.
	Daemons func() []string
	Clock   func() time.Duration
	Bus     peer.Bus
	Log     *log.Logger
	Metrics metrics.Registry
}

// Leader is the service that decides and reports windows while the local daemon leads the role.
type Leader struct {
	*kernel.Periodic
	cfg Config

	mu sync.Mutex
	// term is the term that the state below belongs to, since is when it was first seen.
	term      *election.Term
	since     time.Duration
	collector *collector
	// loaded is set when the stored reports are known; revision is that of their record.
	loaded   bool
	revision store.Revision
	stored   []Report
	status   map[int64]*Status
	// cuts holds when windows end, by the leader's clock of slots, from the one before the first that was decided.
	cuts map[int64]time.Duration

	reported, late, partial metrics.Counter
}

// Status is the state of a window at the leader, for operators.
type Status struct {
	Window   int64    `json:"window"`
	Requests int64    `json:"requests"`
	Missing  []string `json:"missing,omitempty"`
	Sent     bool     `json:"sent"`
	Rejected bool     `json:"rejected,omitempty"`
	Tries    int      `json:"tries"`
	Error    string   `json:"error,omitempty"`
}

// NewLeader returns a service that has not been started and registers its message handler.
func NewLeader(cfg Config) *Leader {
	l := &Leader{
		cfg: cfg, collector: newCollector(), status: map[int64]*Status{}, cuts: map[int64]time.Duration{},
		reported: metrics.GetOrRegisterCounter("metering.reported", cfg.Metrics),
		late:     metrics.GetOrRegisterCounter("metering.overdue", cfg.Metrics),
		partial:  metrics.GetOrRegisterCounter("metering.partial", cfg.Metrics),
	}
	l.Periodic = kernel.NewPeriodic(leaderTick, func(time.Time) { l.tick(context.Background()) })
	cfg.Bus.Handle(peer.KindUsageCounts, func() peer.Message { return new(countsMessage) }, l.onCounts)
	return l
}

// onCounts takes in the counts of a daemon. Counts that are meant for another term are not confirmed.
func (l *Leader) onCounts(from string, m peer.Message) {
	msg := m.(*countsMessage)
	l.mu.Lock()
	if !l.leads() || msg.Token != uint64(l.term.Token) {
		l.mu.Unlock()
		return
	}
	lateBefore := l.collector.late
	to := l.collector.add(from, msg, l.cfg.Clock())
	late := l.collector.late - lateBefore
	l.mu.Unlock()
	if late > 0 {
		l.cfg.Log.Warn("usage counts came after their window was decided", "daemon", from, "requests", late)
	}
	if err := l.cfg.Bus.Send(from, &confirmMessage{Run: msg.Run, Token: msg.Token, To: to}); err != nil {
		l.cfg.Log.Debug("confirming usage counts failed", "daemon", from, "err", err)
	}
}

// leads reports whether the local daemon leads. The state of an earlier term is dropped. The caller must hold l.mu.
func (l *Leader) leads() bool {
	t := l.cfg.Term()
	if t == nil {
		return false
	}
	if t != l.term {
		l.term, l.since = t, l.cfg.Clock()
		l.collector, l.loaded, l.stored = newCollector(), false, nil
		l.status, l.cuts = map[int64]*Status{}, map[int64]time.Duration{}
	}
	return true
}

// tick considers all windows that have ended and are not overdue.
func (l *Leader) tick(ctx context.Context) {
	l.mu.Lock()
	leads := l.leads()
	term := l.term
	l.mu.Unlock()
	if !leads {
		return
	}
	if err := l.load(ctx, term); err != nil {
		l.cfg.Log.Warn("reading the stored usage reports failed", "err", err)
		return
	}
	for _, r := range l.due(ctx, term) {
		l.send(ctx, term, r)
	}
}

// due returns the stored reports that are to be sent. It decides and stores further windows first.
func (l *Leader) due(ctx context.Context, term *election.Term) []Report {
	decided, first := l.decide()
	if len(decided) > 0 {
		if err := l.store(ctx, term, decided); err != nil {
			l.cfg.Log.Warn("storing usage reports failed", "first", decided[0].Window, "windows", len(decided), "err", err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Report
	for _, r := range l.stored {
		if s := l.status[r.Window]; r.Window >= first && (s == nil || !s.Sent && !s.Rejected) {
			out = append(out, r)
		}
	}
	return out
}

// decide returns the reports of the windows that are decided now, and the first window that isn't overdue.
func (l *Leader) decide() (decided []Report, first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock()
	wallAhead, ok := l.collector.wallAhead(now)
	covered, any := l.collector.coveredSince()
	if !ok || !any {
		return nil, 0
	}
	w := l.cfg.Windows
	first, last := w.open(now + wallAhead)
	for window := first; window <= last; window++ {
		if l.isStored(window) {
			continue
		}
		begin, end := l.cut(window-1, wallAhead), l.cut(window, wallAhead)
		missing := l.collector.missing(l.cfg.Daemons(), end)
		state := windowState{now: now + wallAhead, coveredSince: covered + wallAhead, missing: len(missing), collecting: now - l.since}
		switch w.consider(window, state) {
		case decide:
			l.status[window] = &Status{Window: window, Missing: missing}
			l.cuts[window-1], l.cuts[window] = begin, end
			decided = append(decided, Report{Window: window, Counts: l.collector.window(begin, end)})
		case wait, skip:
		}
	}
	l.collector.forget(now - w.kept() - w.Length)
	maps.DeleteFunc(l.cuts, func(window int64, _ time.Duration) bool { return window < first-1 })
	return decided, first
}

// cut returns when a window ends, by the leader's clock of slots. The next one begins there, also if other messages now show
// another time, so that every slot is in one window. The caller must hold l.mu.
func (l *Leader) cut(window int64, wallAhead time.Duration) time.Duration {
	if end, known := l.cuts[window]; known {
		return end
	}
	return l.cfg.Windows.end(window) - wallAhead
}

// logDecided records a decided window. The caller must hold l.mu.
func (l *Leader) logDecided(r *Report) {
	s := l.status[r.Window]
	l.collector.decided = max(l.collector.decided, l.cuts[r.Window])
	l.forgetStatus()
	s.Requests = r.Total()
	if len(s.Missing) > 0 {
		l.partial.Inc(1)
	}
	l.cfg.Log.Info("usage window decided", "window", r.Window, "requests", s.Requests, "customers", len(r.Counts), "missing", s.Missing)
}

// send reports a window.
func (l *Leader) send(ctx context.Context, term *election.Term, r Report) {
	err := term.Do(ctx, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		return l.cfg.Reporter.ReportUsage(ctx, term, &r)
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		return
	}
	s := l.status[r.Window]
	if s == nil {
		s = &Status{Window: r.Window, Requests: r.Total()}
		l.status[r.Window] = s
	}
	s.Tries++
	s.Error = ""
	if err != nil {
		s.Error, s.Rejected = err.Error(), errors.Is(err, ErrRejected)
		l.cfg.Log.Warn("reporting usage failed", "window", r.Window, "token", uint64(term.Token), "tries", s.Tries, "err", err)
		return
	}
	s.Sent = true
	l.reported.Inc(1)
	l.cfg.Log.Info("usage reported", "window", r.Window, "requests", s.Requests, "token", uint64(term.Token), "tries", s.Tries)
}

// forgetStatus drops the oldest states of windows. The caller must hold l.mu.
func (l *Leader) forgetStatus() {
	windows := slices.Sorted(maps.Keys(l.status))
	for _, w := range windows[:max(0, len(windows)-maxStored)] {
		if !l.status[w].Sent {
			l.late.Inc(1)
		}
		delete(l.status, w)
	}
}

// Leads reports whether the local daemon leads the role.
func (l *Leader) Leads() bool { return l.cfg.Term() != nil }

// Recent returns the states of the last windows of the present term, oldest first. It is empty on daemons that don't
// lead.
func (l *Leader) Recent() []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Status
	if l.term == nil || l.cfg.Term() != l.term {
		return out
	}
	for _, w := range slices.Sorted(maps.Keys(l.status)) {
		out = append(out, *l.status[w])
	}
	return out
}
