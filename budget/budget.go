// Package budget implements a retry budget: it limits how often requests are
// sent to another server after a first attempt.
//
// Without a limit, failing servers cause every request to be retried at once,
// and the added load keeps the servers failing. The limit applies to all
// daemons together and needs no messages between them. It holds although daemons
// restart, forget what they granted, and lose their callers to others: see
// docs/design/retry-budget.md.
package budget

import (
	"maps"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
)

// Limit is the configured limit for all daemons together.
type Limit struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Allowance is the number of retries allowed per window in addition to
	// Ratio.
	Allowance float64
	// Window is the interval over which requests and retries are counted.
	Window time.Duration
}

// Clock returns the time since a fixed moment. It also counts the time for which the host is suspended.
type Clock func() time.Duration

// Budget counts requests and retries per service. It is safe for concurrent
// use.
type Budget struct {
	clock           Clock
	started         time.Duration
	log             *log.Logger
	granted, denied metrics.Counter

	mu       sync.Mutex
	limit    Limit
	share    *share
	services map[string]*counts
}

// New returns a budget for a process that starts now.
func New(limit Limit, clock Clock, logger *log.Logger, registry metrics.Registry) *Budget {
	return &Budget{
		clock: clock, started: clock(), log: logger,
		granted: metrics.GetOrRegisterCounter("budget.granted", registry),
		denied:  metrics.GetOrRegisterCounter("budget.denied", registry),
		limit:   limit, share: newShare(limit.Window), services: map[string]*counts{},
	}
}

// SetLimit replaces the ratio and the allowance. The window length stays as it
// was set by New, because the recorded counts depend on it.
func (b *Budget) SetLimit(limit Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit.Window = b.limit.Window
	b.limit = limit
}

// SetView tells the budget which daemons share the allowance. It must be called periodically.
func (b *Budget) SetView(v View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	maps.DeleteFunc(b.services, func(_ string, c *counts) bool { return c.outdated(b.bucket(now)) })
	was := b.share.usable
	b.share.update(v, now)
	if b.share.usable != was {
		b.log.Info("use of the retry allowance began or ended", "usable", b.share.usable, "daemons", b.share.daemons(),
			"registration", v.Registration, "records_age_ms", v.Age.Milliseconds())
	}
}

// RecordRequest records a request to a service that arrived the given time ago.
func (b *Budget) RecordRequest(service string, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	b.counts(service, b.bucket(now)).addRequest(b.bucket(now - age))
}

// Decision is the answer to the question whether a retry may be sent, with what it is based on.
type Decision struct {
	Granted bool
	// Valid is the time within which a granted retry has to be sent.
	Valid time.Duration
	// Requests and Retries are the counts of the local daemon in the window that ends now, Retries without the one
	// that is decided.
	Requests, Retries int
	// Share is the part of the allowance that the local daemon may use, Daemons the number of daemons that share it.
	Share   float64
	Daemons int
	// Uptime is how long the local daemon has counted.
	Uptime time.Duration
}

// TryRetry takes one retry from the budget of a service, unless the budget is used up.
func (b *Budget) TryRetry(service string) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	c := b.counts(service, b.bucket(now))
	d := Decision{
		Requests: c.requestsInWindow(), Retries: c.retriesInWindow(), Daemons: b.share.daemons(), Uptime: now - b.started,
		Share: b.share.of(b.limit.Allowance), Valid: b.bucketLength() / 2,
	}
	if d.Granted = c.takeRetry(b.limit.Ratio, d.Share); d.Granted {
		b.granted.Inc(1)
	} else {
		b.denied.Inc(1)
	}
	return d
}

// bucketLength is the time that one bucket covers.
func (b *Budget) bucketLength() time.Duration { return b.limit.Window / buckets }

// bucket returns the number of the bucket that covers a time.
func (b *Budget) bucket(t time.Duration) int64 { return int64(t / b.bucketLength()) }

// counts returns the counts of a service, moved to the bucket that is current now.
func (b *Budget) counts(service string, now int64) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{newest: now}
		b.services[service] = c
	}
	c.moveTo(now)
	return c
}
