// Package forward proxies requests from callers to backend servers and relays
// the responses. For each request it tracks whether the request ran, certainly
// did not run, or may have run, and it retries only where that is safe.
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

	"github.com/jacinththread/jacinththread/admission"
	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/budget"
	"github.com/jacinththread/jacinththread/holdoff"
	"github.com/jacinththread/jacinththread/ingress"
	"github.com/jacinththread/jacinththread/metering"
	"github.com/jacinththread/jacinththread/notice"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/ratelimit"
	"github.com/jacinththread/jacinththread/resume"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/slotshare"
	"github.com/jacinththread/jacinththread/upstream"
)

// RequestMeta holds the routing information that a caller sends in the request
// header.
type RequestMeta struct {
	// ID is the request ID. It identifies one attempt of the caller, which may
	// itself retry.
	ID string
	// Wait is how long the caller waits for the response; zero if not stated.
	Wait time.Duration
	// Key is the API key that identifies the customer.
	Key string
	// Prompt lists the parts of the prompt in order.
	Prompt []placement.Part
	// TokensIn is the number of prompt tokens, TokensOut the maximum number of
	// tokens to generate.
	TokensIn, TokensOut int
	// LastEvent is the ID of the last event that the caller received of a
	// stream that it resumes, or empty.
	LastEvent string
	// Resumes is the ID of the request that brought the first event of that stream, or
	// empty.
	Resumes string
}

// ServerMeta holds the values that the router adds to a request before it sends
// it to a server.
type ServerMeta struct {
	// Wait is the time left until the deadline of the request.
	Wait time.Duration
	// Server is the ID of the only server that may run the request. A server
	// with another ID rejects it.
	Server string
	// Customer is the customer's name, empty on routes that need no key.
	Customer string
	// Urgency ranks the request at the server, from 0 (most urgent) to
	// route.MaxUrgency.
	Urgency int
	// LastEvent is the ID of the event after which a stream continues that the
	// router resumes, or empty.
	LastEvent string
}

// HeaderCodec maps the header fields on the wire to typed values and back.
type HeaderCodec interface {
	// Meta parses a request header. Missing and malformed fields keep their
	// zero values.
	Meta(h http.Header) RequestMeta
	// Outgoing returns the header to send to a server. It removes fields that
	// only the router may set and adds the values of s.
	Outgoing(h http.Header, s ServerMeta) http.Header
	// Attribute tells whether a response header names the request with the given ID, another one, or none.
	Attribute(h http.Header, id string) upstream.Attribution
	// NotRun reports whether a response states that the server did not run the
	// request.
	NotRun(status int, h http.Header) bool
	// IsAuthentic reports whether, according to its header, a successful response
	// carries the server's signature and the bytes that the server itself sent.
	IsAuthentic(h http.Header) bool
	// Notice returns what a server says of itself in the head of a response.
	Notice(status int, h http.Header) backend.Notice
	// Probe returns the request by which a server shows that it lives and which process it is. The service is nil if
	// the configuration doesn't hold it.
	Probe(s *backend.Server, service *route.Service) upstream.Probe
	// SetRequestID sets the request ID on a response that the router itself
	// generates.
	SetRequestID(h http.Header, id string)
}

// Config configures a Forwarder.
type Config struct {
	// Table returns the active configuration, or nil if none is known.
	Table      func() *route.Table
	Catalog    *backend.Catalog
	Pool       *upstream.Pool
	Tracker    *placement.Tracker
	Budget     *budget.Budget
	Limits     *ratelimit.Limiter
	HoldOffs   *holdoff.List
	Notices    *notice.Receiver
	SlotShares *slotshare.Shares
	Quarantine *quarantine.List
	// Waiters holds requests that wait for slots; nil if none waits.
	Waiters *admission.Waiters
	Streams StreamOrigins
	// Usage counts the requests that servers began; nil if they aren't counted.
	Usage       *metering.Counter
	HeaderCodec HeaderCodec
	// Domain is the failure domain of the local daemon.
	Domain string
	// CatalogFreshness returns the store revision that the server catalog
	// reflects and the time since it was current.
	CatalogFreshness func() (revision int64, age time.Duration)
	Log              *log.Logger
	Metrics          metrics.Registry
	// Tracer creates one span per request and one per attempt at a server.
	Tracer trace.Tracer
}

// Forwarder routes callers' requests to backend servers.
type Forwarder struct {
	cfg             Config
	outcomeCounters map[outcome]metrics.Counter
	latency         metrics.Histogram
	firstByte       metrics.Histogram
	// serverEnds counts the attempts during which the server ended.
	serverEnds metrics.Counter
	// endCounters count the bodies of responses by the evidence about their end.
	endCounters map[endEvidence]metrics.Counter
}

// latencySamples and latencyAlpha configure the exponentially decaying samples
// of the latency histograms. They weight roughly the last five minutes.
const (
	latencySamples = 512
	latencyAlpha   = 0.015
)

// New returns a Forwarder for cfg and registers its metrics.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		cfg:             cfg,
		outcomeCounters: map[outcome]metrics.Counter{},
		latency:         metrics.GetOrRegisterHistogram("forward.latency_ms", cfg.Metrics, metrics.NewExpDecaySample(latencySamples, latencyAlpha)),
		firstByte:       metrics.GetOrRegisterHistogram("forward.first_ms", cfg.Metrics, metrics.NewExpDecaySample(latencySamples, latencyAlpha)),
		serverEnds:      metrics.GetOrRegisterCounter("forward.server_ends", cfg.Metrics),
		endCounters:     newEndCounters(cfg.Metrics),
	}
	for _, o := range outcomes {
		f.outcomeCounters[o] = metrics.GetOrRegisterCounter("forward.requests."+string(o), cfg.Metrics)
	}
	return f
}

// errDeadline is the cancellation cause of a context whose request deadline has
// passed.
var errDeadline = errors.New("request deadline passed")

// Serve implements ingress.Handler.
func (f *Forwarder) Serve(ctx context.Context, r *ingress.Request, w *ingress.Writer) {
	q := &request{Forwarder: f, in: r, w: w, meta: f.cfg.HeaderCodec.Meta(r.Header)}
	ctx, q.span = f.startSpan(ctx, q)
	defer q.span.End()
	q.table = f.cfg.Table()
	if !q.admit() {
		q.recordOutcome()
		return
	}
	ctx, cancel := context.WithDeadlineCause(ctx, q.deadline, errDeadline)
	defer cancel()
	// Until then, a daemon that has just started has no contact with the others.
	q.cfg.Limits.AwaitSync(ctx)
	q.cfg.Quarantine.AwaitSync(ctx)
	if q.resumesStream() && !(q.checkLastEvent() && q.findOrigin(ctx)) {
		q.recordOutcome()
		return
	}
	q.cfg.Budget.RecordRequest(q.service, time.Since(q.in.Arrived))
	q.recordOffer()
	q.run(ctx)
	q.recordOutcome()
}

// request is the state of one request while it is being served.
type request struct {
	*Forwarder
	in    *ingress.Request
	w     *ingress.Writer
	meta  RequestMeta
	table *route.Table
	span  trace.Span

	route    *route.Route
	service  string
	customer string
	// priority is that of the customer, or of the route if the customer has none.
	// It decides how long the request may wait.
	priority int
	// urgency is the rank at the server, by both priorities.
	urgency  int
	deadline time.Time

	// attempts counts the servers that may have run the request.
	attempts int
	// sends counts the servers that the request was sent to, including those
	// that refused it.
	sends      int
	tried      map[backend.Instance]bool
	lastServer *backend.Server
	// via is the daemon through which the request was last sent; empty if it was sent directly.
	via     string
	outcome outcome
	status  int
	reason  string
	stream  *eventSplitter
	// takenOver is the attempt at the server that has taken up a silent stream, or nil.
	takenOver *takeover
	// counted is set once the current attempt is counted as begun.
	counted bool
	// attemptEvents is the number of events relayed in the current attempt.
	attemptEvents int
	// suspectOf is the result of suspect once it is known.
	suspectOf *quarantine.Request
	// crashes is the number of servers that ended before they had answered the request.
	crashes int
	// origin is where the stream began of which the caller has events, or nil if it has
	// none.
	origin *resume.Origin
	// retryBy is until when the retry that the budget granted last has to be sent.
	retryBy time.Time
	// sentAt is when the request was last sent to a server.
	sentAt time.Time
	// end is how the body of the last response ended.
	end bodyEnd
	// firstByteAt is when the first bytes of a response body were relayed.
	firstByteAt time.Time
	// lastRelayAt is when response bytes were last relayed, and longestGap the
	// longest time between two writes of such bytes.
	lastRelayAt time.Time
	longestGap  time.Duration
	// estimate is what was assumed about the chosen server at the last placement.
	estimate placement.Estimate
	// accepted is set once the request is counted as accepted, hadTurn if its last wait ended with a turn, and waited
	// is how long it has waited for slots.
	accepted, hadTurn bool
	waited            time.Duration
	// readyServers is the number of ready servers at the last placement.
	readyServers int
	// fragile is set if servers of the service said at the last placement that they fail under many refusals.
	fragile bool
	// notice is what the server that responded last says of itself.
	notice backend.Notice
}

// admit determines the route, customer, service and deadline. If the request
// cannot be served, it sends the error response and returns false.
func (q *request) admit() bool {
	if q.table == nil {
		q.refuse(http.StatusServiceUnavailable, "no configuration is known yet", startupRetryAfter)
		return false
	}
	q.route = q.table.Match(q.in.Host, q.in.Path)
	if q.route == nil {
		q.refuse(http.StatusNotFound, "no route matches the host and path", 0)
		return false
	}
	q.priority = q.route.Priority
	q.urgency = q.table.Urgency(nil, q.route)
	if !q.identifyCustomer() {
		return false
	}
	q.service = q.route.Pick(rand.Float64())
	q.deadline = q.in.Arrived.Add(q.timeout())
	q.tried = map[backend.Instance]bool{}
	return true
}

// identifyCustomer looks up the customer by API key and applies the customer's
// priority. It sends a 401 response and returns false if a required key is
// unknown.
func (q *request) identifyCustomer() bool {
	if !q.table.NeedsKey(q.route) {
		return true
	}
	c, ok := q.table.Customer(q.meta.Key)
	if !ok {
		q.refuse(http.StatusUnauthorized, "key belongs to no customer", 0)
		return false
	}
	q.customer = c.Name
	q.urgency = q.table.Urgency(c, q.route)
	if c.Priority != nil {
		q.priority = *c.Priority
	}
	return true
}

// defaultTimeout applies to requests that state no deadline. The timeout of the
// route can only shorten it.
const defaultTimeout = 60 * time.Second

// timeout returns the time allowed for the request from its arrival: the
// caller's deadline, limited by the timeout of the route.
func (q *request) timeout() time.Duration {
	wait := defaultTimeout
	if q.meta.Wait > 0 {
		wait = q.meta.Wait
	}
	if q.route.Timeout > 0 {
		wait = min(wait, q.route.Timeout)
	}
	return wait
}
