package quarantine

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

// report is the record of a subject in a message.
type report struct {
	Kind       Kind
	Hash       uint64
	Crashes    []crashReport
	AnsweredBy []Software
	// Blocked is set while requests with the subject are withheld.
	Blocked bool
	Trials  int
	// TriedAgoMs and SeenAgoMs are the times since the last trial and since the subject was last seen,
	// when the message was sent.
	TriedAgoMs, SeenAgoMs int64
}

// crashReport is a crash in a message.
type crashReport struct {
	Server   string
	Started  int64
	Software Software
	Customer string
	AgoMs    int64
	Answered bool
}

// NewExchange returns the service that passes records on to the other daemons. The function others
// returns the names of the other live daemons.
func NewExchange(l *List, bus peer.Bus, others func() []string, logger *log.Logger, registry metrics.Registry) *gossip.Exchange[report] {
	l.questions = newQuestions(l, bus)
	return gossip.New(gossip.Config[report]{
		Kind: peer.KindQuarantine, State: l, Bus: bus, Others: others, Synced: l.synced, Log: logger,
		Sent: metrics.GetOrRegisterCounter("quarantine.messages", registry),
	})
}

func newReport(subject Subject, rec *record, now time.Time) report {
	r := report{
		Kind: subject.Kind, Hash: subject.Hash, AnsweredBy: slices.Clone(rec.answeredBy), Blocked: rec.blocked, Trials: rec.trials,
		TriedAgoMs: now.Sub(rec.triedAt).Milliseconds(), SeenAgoMs: now.Sub(rec.seenAt).Milliseconds(),
	}
	for _, c := range rec.crashes {
		r.Crashes = append(r.Crashes, crashReport{
			Server: c.Server.ID, Started: c.Server.Started, Software: c.Software, Customer: c.Customer,
			AgoMs: now.Sub(c.At).Milliseconds(), Answered: c.Answered,
		})
	}
	return r
}

func (r *report) subject() Subject { return Subject{Kind: r.Kind, Hash: r.Hash} }

func (c *crashReport) crash(now time.Time) Crash {
	return Crash{
		Server: backend.Instance{ID: c.Server, Started: c.Started}, Software: c.Software, Customer: c.Customer,
		At: ago(now, c.AgoMs), Answered: c.Answered,
	}
}

func ago(now time.Time, ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }

// maxChanges bounds the changes sent in a round. When many servers crash at once, the subjects with the most
// crashes come first, whether answered or not.
const maxChanges = 64

// TakeChanges implements gossip.State.
func (l *List) TakeChanges(limit int, now time.Time) []report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []Subject
	for subject, rec := range l.records {
		if rec.roundsLeft > 0 {
			changed = append(changed, subject)
		}
	}
	if limit = min(limit, maxChanges); len(changed) > limit {
		slices.SortFunc(changed, func(a, b Subject) int {
			return cmp.Compare(len(l.records[b].crashes), len(l.records[a].crashes))
		})
		changed = changed[:limit]
	}
	var out []report
	for _, subject := range changed {
		rec := l.records[subject]
		rec.roundsLeft--
		out = append(out, newReport(subject, rec, now))
	}
	return out
}

// position is the place of a subject in the order of refreshes: blocks come first.
func position(subject Subject, rec *record) string {
	if rec.withheld() {
		return "0/" + subject.String()
	}
	return "1/" + subject.String()
}

// RecordsAfter implements gossip.State.
func (l *List) RecordsAfter(key string, limit int, now time.Time) ([]report, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	type entry struct {
		position string
		subject  Subject
	}
	var entries []entry
	for subject, rec := range l.records {
		if p := position(subject, rec); p > key {
			entries = append(entries, entry{p, subject})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.position, b.position) })
	var out []report
	last := ""
	for _, e := range entries[:min(limit, len(entries))] {
		out = append(out, newReport(e.subject, l.records[e.subject], now))
		last = e.position
	}
	return out, last
}

// Merge implements gossip.State.
func (l *List) Merge(reports []report, from string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The number of recent crashes decides about all blocks of the message.
	for i := range reports {
		l.addRecent(&reports[i], now)
	}
	for i := range reports {
		l.merge(&reports[i], from, now)
	}
}

// covers reports whether the record has all that a message says of its subject.
func (r *record) covers(m *report, now time.Time) bool {
	if m.Blocked && !r.blocked || m.Trials > r.trials {
		return false
	}
	for i := range m.Crashes {
		if !r.hasCrash(m.Crashes[i].crash(now)) {
			return false
		}
	}
	for _, s := range m.AnsweredBy {
		if !slices.Contains(r.answeredBy, s) && len(r.answeredBy) < maxAnsweredBy {
			return false
		}
	}
	return true
}

func (r *record) hasCrash(c Crash) bool {
	for i := range r.crashes {
		if known := &r.crashes[i]; known.same(c) {
			return known.Answered || !c.Answered
		}
	}
	return false
}

// isBehind reports whether a message that the record covers says less than the record.
func (m *report) isBehind(r *record) bool {
	return len(m.Crashes) < len(r.crashes) || m.Blocked != r.blocked || len(m.AnsweredBy) < len(r.answeredBy) || m.Trials < r.trials
}

func (l *List) addRecent(r *report, now time.Time) {
	for i := range r.Crashes {
		if c := r.Crashes[i].crash(now); now.Sub(c.At) < recentAge {
			l.recent.add(c)
		}
	}
}

func (l *List) merge(r *report, from string, now time.Time) {
	subject := r.subject()
	if rec := l.records[subject]; rec != nil && rec.covers(r, now) {
		l.mergeKnown(rec, r, now)
		return
	}
	for _, c := range r.Crashes {
		crash := c.crash(now)
		if l.answers.clears(subject, crash) {
			crash.Answered = true
		}
		l.addCrash(subject, crash, from)
	}
	rec := l.records[subject]
	if rec == nil {
		return
	}
	for _, s := range r.AnsweredBy {
		l.update(subject, rec, from, func() bool { return rec.addAnsweredBy(s) })
	}
	if r.Blocked && !rec.blocked {
		l.evaluate(subject, rec, crashesToWithhold, from)
	}
	if r.Trials > rec.trials {
		rec.trials, rec.triedAt, rec.roundsLeft = r.Trials, ago(now, r.TriedAgoMs), gossip.ChangeRounds
	}
	rec.sawAt(ago(now, r.SeenAgoMs))
}

// mergeKnown takes in a message that says nothing new. A daemon that hears a change from others sends it in
// fewer rounds itself.
func (l *List) mergeKnown(rec *record, r *report, now time.Time) {
	if rec.roundsLeft > 0 && !r.isBehind(rec) {
		rec.roundsLeft--
	}
	rec.sawAt(ago(now, r.SeenAgoMs))
}

func (r *record) sawAt(at time.Time) {
	if at.After(r.seenAt) {
		r.seenAt = at
	}
}
