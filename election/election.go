package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/internal/pause"
	"github.com/jacinththread/jacinththread/store"
)

const (
	// pollInterval is the time between two reads of the local copy of the record.
	pollInterval = 150 * time.Millisecond
	// renewalsPerLease is the number of renewals within the duration of a lease.
	renewalsPerLease = 3
	// retryInterval is the time between two renewals after one has failed.
	retryInterval = 250 * time.Millisecond
	// marginShare is the share of the lease, at its end, in which the leader doesn't act any more, because
	// calls may still be on their way.
	marginShare = 6
	// resignTimeout bounds the call that ends the lease at a planned stop.
	resignTimeout = 300 * time.Millisecond
)

// RecordsPrefix is the key prefix of the records of leaders; the role follows.
const RecordsPrefix = "elections/"

// RecordKey returns the key of a role's record.
func RecordKey(role string) string { return RecordsPrefix + role }

// Record is the value of a role's record.
type Record struct {
	// Leader is the name of the daemon that leads, Addr the address at which other daemons reach it.
	Leader string `json:"leader"`
	Addr   string `json:"addr"`
	// Attempt identifies the write that created the record.
	Attempt uint64 `json:"attempt"`
}

// View is what the local copy of the store's records says of a role.
type View struct {
	// Entry is the role's record, valid if Exists is set.
	Entry  store.Entry
	Exists bool
	// At is the revision up to which the copy is complete.
	At store.Revision
	// Current is set if the copy was confirmed a moment ago.
	Current bool
}

// Config configures an Election.
type Config struct {
	Role string
	// Name and Addr are those of the local daemon.
	Name, Addr string
	// Lease is the duration of the lease. A daemon also waits that long between two terms of its own, in
	// which other daemons may have led.
	Lease time.Duration
	Store store.Transactor
	// View returns what the local copy of the records says.
	View func() View
	// Candidates returns the addresses of the live daemons, including the local one.
	Candidates func() []string
	// Clock also counts the time for which the host was suspended.
	Clock   func() time.Duration
	Log     *log.Logger
	Metrics metrics.Registry
}

// Election is the service by which the local daemon stands for a role.
type Election struct {
	cfg    Config
	term   atomic.Pointer[Term]
	cancel context.CancelFunc
	done   chan struct{}
	// resigned is set when the daemon stops: it doesn't stand again.
	resigned atomic.Bool
	stand    standing
	// known is the last logged record of the role.
	known store.Revision

	terms, failures metrics.Counter
	leading         metrics.Gauge
}

// New returns an election that has not been started.
func New(cfg Config) *Election {
	return &Election{
		cfg: cfg, done: make(chan struct{}),
		stand:    standing{earliest: cfg.Clock() + cfg.Lease},
		terms:    metrics.GetOrRegisterCounter("election.terms."+cfg.Role, cfg.Metrics),
		failures: metrics.GetOrRegisterCounter("election.failures."+cfg.Role, cfg.Metrics),
		leading:  metrics.GetOrRegisterGauge("election.leading."+cfg.Role, cfg.Metrics),
	}
}

// Role returns the name of the role.
func (e *Election) Role() string { return e.cfg.Role }

// Term returns the term of the local daemon, or nil if it doesn't lead.
func (e *Election) Term() *Term {
	t := e.term.Load()
	if t == nil || t.Remaining() == 0 {
		return nil
	}
	return t
}

// Leader returns the record of the leader as the local copy has it.
func (e *Election) Leader() (Record, store.Revision, bool) {
	v := e.cfg.View()
	if !v.Exists {
		return Record{}, 0, false
	}
	var r Record
	if err := json.Unmarshal(v.Entry.Value, &r); err != nil {
		return Record{}, 0, false
	}
	return r, v.Entry.Revision, true
}

// Start implements kernel.Service. It doesn't wait for a leader.
func (e *Election) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.run(ctx)
	return nil
}

// Stop implements kernel.Service. A leader resigns.
func (e *Election) Stop(context.Context) error {
	e.Resign()
	e.cancel()
	<-e.done
	return nil
}

// Resign ends the term of the local daemon, so that another one takes over at once. The lease ends after
// the actions of the term have.
func (e *Election) Resign() {
	e.resigned.Store(true)
	t := e.term.Load()
	if t == nil {
		return
	}
	valid := t.Remaining() > 0
	t.end()
	t.actions.Wait()
	if !e.term.CompareAndSwap(t, nil) || !valid {
		return
	}
	e.leading.Update(0)
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	err := e.cfg.Store.End(ctx, t.lease)
	e.cfg.Log.Info("leader resigned", "role", e.cfg.Role, "token", uint64(t.Token), "err", err)
}

func (e *Election) run(ctx context.Context) {
	defer close(e.done)
	for ctx.Err() == nil {
		wait := pollInterval
		if t := e.term.Load(); t != nil {
			wait = e.lead(ctx, t)
		} else if !e.resigned.Load() {
			e.follow(ctx)
		}
		pause.For(ctx, wait)
	}
}

// lead renews the lease when it is due and ends the term if it is over. It returns the time until the
// next call.
func (e *Election) lead(ctx context.Context, t *Term) time.Duration {
	if reason := e.lost(t); reason != "" {
		e.endTerm(t, reason)
		return 0
	}
	if t.Remaining() > e.fullTerm()-e.cfg.Lease/renewalsPerLease {
		return pollInterval
	}
	asked := e.cfg.Clock()
	ctx, cancel := context.WithTimeout(ctx, min(t.Remaining(), e.cfg.Lease/renewalsPerLease))
	defer cancel()
	err := e.cfg.Store.Keep(ctx, t.lease)
	switch {
	case err == nil:
		t.extend(e.validUntil(asked))
		return pollInterval
	case errors.Is(err, store.ErrNotFound):
		e.endTerm(t, "lease has ended")
		return 0
	}
	e.failures.Inc(1)
	e.cfg.Log.Warn("renewing the lease of a leader failed", "role", e.cfg.Role, "left_ms", t.Remaining().Milliseconds(), "err", err)
	return retryInterval
}

// lost returns why the local daemon doesn't lead any more, or an empty string if it does.
func (e *Election) lost(t *Term) string {
	v := e.cfg.View()
	e.stand.observe(e.cfg.Clock(), v, e.cfg.Lease)
	switch {
	case t.Remaining() == 0:
		return "lease was not renewed in time"
	case v.At < t.Token:
		return ""
	case !v.Exists:
		return "record is gone"
	case v.Entry.Revision != t.Token:
		return "record is another one"
	}
	return ""
}

// endTerm ends the term. The lease isn't renewed any more, even if the store still has it: renewals whose
// answers are lost would keep the role from other daemons.
func (e *Election) endTerm(t *Term, reason string) {
	t.end()
	if !e.term.CompareAndSwap(t, nil) {
		return
	}
	e.leading.Update(0)
	e.stand.wait(e.cfg.Clock() + e.cfg.Lease)
	e.cfg.Log.Warn("leader lost its role", "role", e.cfg.Role, "token", uint64(t.Token), "reason", reason)
}

// fullTerm is how long a term lasts after a renewal.
func (e *Election) fullTerm() time.Duration { return e.cfg.Lease - e.cfg.Lease/marginShare }

// validUntil returns the end of a term whose lease was asked for or renewed at a time.
func (e *Election) validUntil(asked time.Duration) time.Duration { return asked + e.fullTerm() }

// errRestored means that the store came back from an older copy during an attempt.
var errRestored = errors.New("store came back from an older copy")

// follow reads the local copy of the record and stands for the role if there is none.
func (e *Election) follow(ctx context.Context) {
	v := e.cfg.View()
	e.logChange(v)
	now := e.cfg.Clock()
	e.stand.observe(now, v, e.cfg.Lease)
	if !e.stand.due(now, v, e.cfg.Addr, e.cfg.Role, e.cfg.Candidates) {
		return
	}
	t, err := e.attempt(ctx)
	if err == nil && t.Token.Epoch() != v.At.Epoch() {
		err = errRestored
	}
	if err != nil {
		e.failures.Inc(1)
		e.stand.wait(e.cfg.Clock() + retryInterval + rand.N(retryInterval))
		e.cfg.Log.Info("standing for a role failed", "role", e.cfg.Role, "revision", v.At, "err", err)
		return
	}
	e.term.Store(t)
	e.terms.Inc(1)
	e.leading.Update(1)
	e.cfg.Log.Info("daemon leads a role", "role", e.cfg.Role, "token", uint64(t.Token), "lease", int64(t.lease), "valid_ms", t.Remaining().Milliseconds())
	if e.resigned.Load() {
		e.Resign()
	}
}

// logChange logs which daemon leads when that has changed.
func (e *Election) logChange(v View) {
	if !v.Exists || v.Entry.Revision == e.known {
		return
	}
	e.known = v.Entry.Revision
	if r, token, ok := e.Leader(); ok {
		e.cfg.Log.Info("role has another leader", "role", e.cfg.Role, "leader", r.Leader, "token", uint64(token))
	}
}

// attempt tries to create the role's record under a new lease.
func (e *Election) attempt(ctx context.Context) (*Term, error) {
	asked := e.cfg.Clock()
	ctx, cancel := context.WithTimeout(ctx, e.fullTerm())
	defer cancel()
	lease, err := e.cfg.Store.Grant(ctx, e.cfg.Lease)
	if err != nil {
		return nil, fmt.Errorf("lease: %w", err)
	}
	record := Record{Leader: e.cfg.Name, Addr: e.cfg.Addr, Attempt: rand.Uint64()}
	value, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	key := RecordKey(e.cfg.Role)
	token, err := e.cfg.Store.Commit(ctx, store.Txn{If: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: value, Lease: lease}}})
	if errors.Is(err, store.ErrOutcomeUnknown) {
		token, err = e.readBack(ctx, record.Attempt)
	}
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	t := NewTerm(e.cfg.Role, e.cfg.Name, token, e.cfg.Clock, e.validUntil(asked))
	t.lease = lease
	return t, t.Check()
}

// readBack returns the revision of the record if an attempt whose outcome is unknown has created it.
func (e *Election) readBack(ctx context.Context, attempt uint64) (store.Revision, error) {
	entry, err := e.cfg.Store.Get(ctx, RecordKey(e.cfg.Role))
	if err != nil {
		return 0, err
	}
	var r Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return 0, err
	}
	if r.Attempt != attempt {
		return 0, store.ErrConflict
	}
	return entry.Revision, nil
}
