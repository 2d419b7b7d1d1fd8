// Package forward carries a request from its caller to a backend server and the
// answer back. It owns the outcome of the request: whether it ran, surely did
// not run, or may have run.
package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/budget"
	"github.com/jacinththread/jacinththread/ingress"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/upstream"
)

// Meta is what a request's header says to the router.
type Meta struct {
	// ID names the caller's attempt.
	ID string
	// Wait is how long the caller waits; zero means that it does not say.
	Wait time.Duration
	// Key identifies the customer.
	Key string
	// Prompt lists the parts of the prompt.
	Prompt []placement.Part
	// TokensIn is the size of the prompt, TokensOut the most that is generated.
	TokensIn, TokensOut int
	// LastEvent is the last event that the caller has of a stream it resumes.
	LastEvent string
}

// Sending is what the router adds to a request for a server.
type Sending struct {
	// Wait is how long the answer is still of use.
	Wait time.Duration
	// Server is the ID of the server that may run the request.
	Server string
	// Customer is empty for requests without a key.
	Customer string
	// Urgency is 0 for the most urgent requests, at most 9.
	Urgency int
	// LastEvent is the last event that the caller got, if the stream is resumed.
	LastEvent string
}

// Dialect translates between the headers on the wire and typed values.
type Dialect interface {
	// Meta reads a request's header. Fields that are missing or malformed stay
	// zero.
	Meta(h http.Header) Meta
	// Outgoing returns the header for a server: what the caller may set and what
	// the router adds.
	Outgoing(h http.Header, s Sending) http.Header
	// Owns reports whether an answer belongs to the request with an ID.
	Owns(h http.Header, id string) bool
	// NotRun reports whether a server's answer states that it did not run the
	// request.
	NotRun(status int, h http.Header) bool
	// Genuine reports whether a successful answer carries the server's signature
	// and its own bytes.
	Genuine(h http.Header) bool
	// Identify names the request in an answer of the router's own.
	Identify(h http.Header, id string)
}

// Config configures a Forwarder.
type Config struct {
	// Table returns the configuration in force, or nil if none is known.
	Table   func() *route.Table
	Catalog *backend.Catalog
	Pool    *upstream.Pool
	Tracker *placement.Tracker
	Budget  *budget.Budget
	Dialect Dialect
	// Domain is the failure domain of the local daemon.
	Domain string
	// Knowledge returns the store's revision up to which servers are known and
	// how long ago that was.
	Knowledge func() (revision int64, age time.Duration)
	Log       *log.Logger
	Metrics   metrics.Registry
	// Tracer creates a span for each request and one for each server that is
	// tried.
	Tracer trace.Tracer
}

// Forwarder handles requests of callers.
type Forwarder struct {
	cfg     Config
	outcome map[outcome]metrics.Counter
	latency metrics.Histogram
	first   metrics.Histogram
}

// latencySamples and latencyAlpha are the size and the decay of the sample kept
// for latency histograms: about the last five minutes count.
const (
	latencySamples = 512
	latencyAlpha   = 0.015
)

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		cfg:     cfg,
		outcome: map[outcome]metrics.Counter{},
		latency: metrics.GetOrRegisterHistogram("forward.latency_ms", cfg.Metrics, metrics.NewExpDecaySample(latencySamples, latencyAlpha)),
		first:   metrics.GetOrRegisterHistogram("forward.first_ms", cfg.Metrics, metrics.NewExpDecaySample(latencySamples, latencyAlpha)),
	}
	for _, o := range outcomes {
		f.outcome[o] = metrics.GetOrRegisterCounter("forward.requests."+string(o), cfg.Metrics)
	}
	return f
}

// errDeadline is the cause of a context that ended with the request's time.
var errDeadline = errors.New("deadline of the request has passed")

// Serve implements ingress.Handler.
func (f *Forwarder) Serve(ctx context.Context, r *ingress.Request, w *ingress.Writer) {
	q := &request{Forwarder: f, in: r, w: w, meta: f.cfg.Dialect.Meta(r.Header)}
	ctx, q.span = f.startSpan(ctx, q)
	defer q.span.End()
	q.table = f.cfg.Table()
	if !q.admit() {
		q.report()
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.deadline, errDeadline)
	defer cancel()
	q.run(ctx)
	q.report()
}

// request is one request on its way.
type request struct {
	*Forwarder
	in    *ingress.Request
	w     *ingress.Writer
	meta  Meta
	table *route.Table
	span  trace.Span

	route    *route.Route
	service  string
	customer string
	urgency  int
	deadline time.Time

	// attempts counts the servers that may have run the request.
	attempts int
	// sends counts the servers that were handed the request.
	sends   int
	tried   map[backend.Life]bool
	last    *backend.Server
	outcome outcome
	status  int
	reason  string
	stream  *events
	// sent is when the request was last handed to a server.
	sent time.Time
	// first is when the first byte of an answer's body was passed on.
	first time.Time
	// latest is when the last event was passed on, and longestGap the longest
	// pause between two events.
	latest     time.Time
	longestGap time.Duration
	// backlog is what the chosen server had to read before, in tokens.
	backlog, missing int
	// known is the number of servers that were ready when it was last placed.
	known int
}

// admit finds the route, the customer and the deadline, or answers.
func (q *request) admit() bool {
	if q.table == nil {
		q.refuse(http.StatusServiceUnavailable, "no configuration is known yet", startupRetry)
		return false
	}
	q.route = q.table.Match(q.in.Host, q.in.Path)
	if q.route == nil {
		q.refuse(http.StatusNotFound, "no route matches the host and path", 0)
		return false
	}
	q.urgency = q.route.Priority
	if !q.identify() {
		return false
	}
	q.service = q.route.Pick(rand.Float64())
	q.deadline = q.in.Arrived.Add(q.wait())
	q.tried = map[backend.Life]bool{}
	q.cfg.Budget.Request(q.service, time.Now())
	return true
}

// identify finds the customer by its key.
func (q *request) identify() bool {
	if !q.table.NeedsKey(q.route) {
		return true
	}
	c, ok := q.table.Customer(q.meta.Key)
	if !ok {
		q.refuse(http.StatusUnauthorized, "key belongs to no customer", 0)
		return false
	}
	q.customer = c.Name
	if c.Priority != nil {
		q.urgency = *c.Priority
	}
	return true
}

// defaultWait bounds requests that state no deadline on routes without one.
const defaultWait = 60 * time.Second

// wait is how long the request may take in all.
func (q *request) wait() time.Duration {
	wait := defaultWait
	if q.meta.Wait > 0 {
		wait = q.meta.Wait
	}
	if q.route.Timeout > 0 {
		wait = min(wait, q.route.Timeout)
	}
	return wait
}

// report logs and counts how the request ended.
func (q *request) report() {
	took := time.Since(q.in.Arrived)
	q.outcomeCounter().Inc(1)
	q.latency.Update(took.Milliseconds())
	if !q.first.IsZero() {
		q.Forwarder.first.Update(q.firstAfter().Milliseconds())
	}
	var version route.Version
	if q.table != nil {
		version = q.table.Version()
	}
	name, server := "", ""
	var target, gapTarget time.Duration
	if q.route != nil {
		name, target, gapTarget = q.route.Name, q.route.Target, q.route.GapTarget
	}
	if q.last != nil {
		server = q.last.ID
	}
	q.describeSpan(name, server)
	revision, age := q.cfg.Knowledge()
	q.cfg.Log.Info("request done", "request_id", q.meta.ID, "route", name, "customer", q.customer,
		"service", q.service, "outcome", q.outcome, "status", q.status, "reason", q.reason,
		"server", server, "sends", q.sends, "attempts", q.attempts, "took_ms", took.Milliseconds(),
		"first_ms", q.firstAfter().Milliseconds(), "gap_ms", q.longestGap.Milliseconds(),
		"target_ms", target.Milliseconds(), "gap_limit_ms", gapTarget.Milliseconds(), "tokens_in", q.meta.TokensIn,
		"backlog_tokens", q.backlog, "missing_tokens", q.missing, "config", int64(version),
		"servers", q.known, "revision", revision, "age_ms", age.Milliseconds())
}

// firstAfter is the time to the first byte of the answer's body, or zero.
func (q *request) firstAfter() time.Duration {
	if q.first.IsZero() {
		return 0
	}
	return q.first.Sub(q.in.Arrived)
}

// notePassed records that a part of the answer was passed on.
func (q *request) notePassed(now time.Time) {
	if q.first.IsZero() {
		q.first = now
	} else {
		q.longestGap = max(q.longestGap, now.Sub(q.latest))
	}
	q.latest = now
}

func (q *request) outcomeCounter() metrics.Counter { return q.Forwarder.outcome[q.outcome] }
