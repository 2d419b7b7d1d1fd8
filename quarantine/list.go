package quarantine

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/gossip"
)

const (
	// maxRecords bounds the subjects that are recorded.
	maxRecords = 4096
	// evictedRecords is the number of records removed at once when there are too many.
	evictedRecords = 512
)

// List decides which requests are withheld. It is safe for concurrent use.
type List struct {
	self string
	// owner returns the daemon that decides about trials of a subject with the given hash.
	owner func(hash uint64) string
	log   *log.Logger
	// questions asks owners about trials; it is nil without other daemons.
	questions *questions
	// synced is opened when the records of another daemon have been received.
	synced *gossip.Gate
	// withheldCount is the number of withheld subjects.
	withheldCount atomic.Int64

	subjects, blockCount metrics.Gauge
	withheld, trials     metrics.Counter

	mu      sync.Mutex
	records map[Subject]*record
	answers answers
	recent  recentCrashes
	// blocked are the records of the withheld subjects.
	blocked blockedSubjects
}

// New returns an empty List of the daemon with the given name. The function owner returns the daemon
// that owns the key with a hash, the same one at all daemons.
func New(self string, owner func(hash uint64) string, logger *log.Logger, registry metrics.Registry) *List {
	return &List{
		self: self, owner: owner, log: logger, synced: gossip.NewGate(),
		records: map[Subject]*record{}, answers: newAnswers(), recent: recentCrashes{}, blocked: blockedSubjects{},
		subjects:   metrics.GetOrRegisterGauge("quarantine.subjects", registry),
		blockCount: metrics.GetOrRegisterGauge("quarantine.blocked", registry),
		withheld:   metrics.GetOrRegisterCounter("quarantine.withheld", registry),
		trials:     metrics.GetOrRegisterCounter("quarantine.trials", registry),
	}
}

// MarkSynced records that the records of other daemons have been received, or that there are no
// other daemons.
func (l *List) MarkSynced() { l.synced.Open() }

// AwaitSync waits until the records of other daemons have been received, for a limited time after New.
func (l *List) AwaitSync(ctx context.Context) { l.synced.Wait(ctx) }

// Crashed records that a server ended before it had answered a request.
func (l *List) Crashed(r Request, c Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, subject := range r.subjects() {
		if !l.answers.clears(subject, c) {
			l.addCrash(subject, c, l.self)
		}
	}
}

// Answered records that servers with the given software began an answer to a request and went on
// with it, or completed it.
func (l *List) Answered(r Request, s Software, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, subject := range r.subjects() {
		l.answers.put(subject, s, now)
		if rec := l.records[subject]; rec != nil {
			l.update(subject, rec, l.self, func() bool { return rec.answer(s) })
		}
	}
}

// Withholds reports whether requests like the given one are withheld from any servers.
func (l *List) Withholds(r Request) bool {
	if l.withheldCount.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, subject := range r.subjects() {
		if rec := l.records[subject]; rec != nil && rec.withheld() {
			return true
		}
	}
	return false
}

// Permits reports whether the request may be sent to servers with the given software.
func (l *List) Permits(r Request, s Software) bool {
	if l.withheldCount.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, subject := range r.subjects() {
		if rec := l.records[subject]; rec != nil && !rec.permits(s) {
			return false
		}
	}
	return true
}

// Withheld records that a request was not sent. It returns the subject because of which it was withheld
// and the number of crashes that count against it.
func (l *List) Withheld(r Request, now time.Time) (subject Subject, crashes int) {
	l.withheld.Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range r.subjects() {
		if rec := l.records[s]; rec != nil && rec.withheld() {
			rec.seenAt = now
			subject, crashes = s, rec.unanswered()
		}
	}
	return subject, crashes
}

// addCrash records a crash under a subject. The caller must hold l.mu.
func (l *List) addCrash(subject Subject, c Crash, source string) {
	rec := l.records[subject]
	if rec == nil {
		l.makeRoom()
		rec = &record{seenAt: c.At}
		l.records[subject] = rec
		l.subjects.Update(int64(len(l.records)))
	}
	if c.At.After(rec.seenAt) {
		rec.seenAt = c.At
	}
	l.recent.add(c)
	l.update(subject, rec, source, func() bool { return rec.add(c) })
}

// update makes a change to a record, and evaluates and spreads it. The caller must hold l.mu.
func (l *List) update(subject Subject, rec *record, source string, change func() bool) {
	if change() {
		rec.roundsLeft = gossip.ChangeRounds
		l.evaluateNow(subject, rec, source)
	}
}

// Forget removes what is no longer needed. It must be called periodically.
func (l *List) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for subject, rec := range l.records {
		if rec.expired(now) {
			l.remove(subject, rec)
		}
	}
}

// remove removes a record. The caller must hold l.mu.
func (l *List) remove(subject Subject, rec *record) {
	l.setBlocked(subject, rec, false)
	delete(l.records, subject)
	l.subjects.Update(int64(len(l.records)))
}

// makeRoom removes records if there are too many: those with the fewest crashes of the customers
// that have the most records, so that no customer can displace what is known of the others'. The caller
// must hold l.mu.
func (l *List) makeRoom() {
	if len(l.records) < maxRecords {
		return
	}
	perCustomer := map[string]int{}
	subjects := make([]Subject, 0, len(l.records))
	for subject, rec := range l.records {
		perCustomer[rec.customer()]++
		subjects = append(subjects, subject)
	}
	slices.SortFunc(subjects, func(a, b Subject) int {
		return l.records[a].compareWorth(l.records[b], perCustomer)
	})
	for _, subject := range subjects[:evictedRecords] {
		l.remove(subject, l.records[subject])
	}
}

// customer returns the customer whose request the first crash was under.
func (r *record) customer() string { return r.crashes[0].Customer }

// compareWorth orders records by how much is lost with them, given the number of records of each
// customer.
func (r *record) compareWorth(other *record, perCustomer map[string]int) int {
	blocks := cmp.Compare(boolToInt(r.withheld()), boolToInt(other.withheld()))
	customers := cmp.Compare(perCustomer[other.customer()], perCustomer[r.customer()])
	crashes := cmp.Compare(r.unanswered(), other.unanswered())
	return cmp.Or(blocks, customers, crashes, r.seenAt.Compare(other.seenAt))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
