package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/telemetry"
)

const (
	maxDeadline            = 24 * time.Hour
	maxIdempotencyKeyBytes = 255
	notReadyRetryAfter     = time.Second
)

var idempotencyKeyPattern = regexp.MustCompile(`^[\x21-\x7e]+$`)

// request is the state of a caller's request. It must be used only by the
// goroutine that serves the request.
type request struct {
	http    *http.Request
	id      string
	arrived time.Time
	span    trace.Span

	active   *bundle.Active
	customer *bundle.Customer
	class    *bundle.Class
	// deadline is the time after arrival within which the request must start;
	// zero means no deadline.
	deadline       time.Duration
	idempotencyKey string
	body           []byte

	// subjects are what the request has in common with others under which servers may crash.
	subjects []quarantine.Subject
	// crashes is the number of servers that ended before they had answered the request.
	crashes int

	// runState is the run state that an error response reports.
	runState RunState
	// responseStarted is set once a part of the response was written.
	responseStarted bool
}

func (g *Gateway) newRequest(r *http.Request) *request {
	ctx := telemetry.ExtractHeader(r.Context(), r.Header)
	req := &request{id: uuid.NewString(), arrived: time.Now(), runState: NotRun}
	ctx, req.span = g.cfg.Tracer.Start(ctx, "gateway", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("request_id", req.id)))
	req.http = r.WithContext(ctx)
	return req
}

func (r *request) customerName() string {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

func (r *request) className() string {
	if r.class == nil {
		return ""
	}
	return r.class.Name
}

// admit authenticates the caller, determines the class and the deadline, validates
// the Idempotency-Key and reads the body.
func (g *Gateway) admit(w http.ResponseWriter, req *request) error {
	req.idempotencyKey = req.http.Header.Get(HeaderIdempotency)
	if req.idempotencyKey != "" {
		// An earlier attempt with the same key may have been run.
		req.runState = Unknown
	}
	req.active = g.cfg.Bundles.Current()
	if req.active == nil {
		return &Error{
			Status: http.StatusServiceUnavailable, Code: "not_ready",
			Message: "no bundle version is in force yet", RetryAfter: notReadyRetryAfter,
		}
	}
	w.Header().Set(HeaderBundle, strconv.FormatUint(req.active.Version, 10))
	if err := req.authenticate(); err != nil {
		return err
	}
	if err := req.selectClass(); err != nil {
		return err
	}
	if err := req.parseDeadline(); err != nil {
		return err
	}
	if err := req.validateIdempotencyKey(); err != nil {
		return err
	}
	req.span.SetAttributes(attribute.String("customer", req.customer.Name), attribute.String("class", req.class.Name))
	return g.readBody(w, req)
}

func (r *request) authenticate() error {
	token, ok := strings.CutPrefix(r.http.Header.Get("Authorization"), "Bearer ")
	if ok {
		r.customer = r.active.CustomerByToken(token)
	}
	if r.customer == nil {
		return &Error{
			Status: http.StatusUnauthorized, Code: "unauthorized",
			Message: "Authorization must be Bearer with a known token",
		}
	}
	return nil
}

// selectClass sets the class that the caller requested, or the customer's first
// class if it requested none.
func (r *request) selectClass() error {
	name := r.http.Header.Get(HeaderClass)
	if name == "" && len(r.customer.Classes) > 0 {
		name = r.customer.Classes[0]
	}
	if slices.Contains(r.customer.Classes, name) {
		r.class = r.active.Class(name)
	}
	if r.class == nil {
		return badRequest("unknown_class", "%s %q is not a class of customer %q", HeaderClass, name, r.customer.Name)
	}
	return nil
}

// parseDeadline reads the deadline from its header, if there is one.
func (r *request) parseDeadline() error {
	text := r.http.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return badRequest("bad_deadline", "%s %q is not a number of milliseconds from 1 to %d",
			HeaderDeadline, text, maxDeadline.Milliseconds())
	}
	r.deadline = time.Duration(ms) * time.Millisecond
	return nil
}

// validateIdempotencyKey checks the length and characters of the Idempotency-Key.
func (r *request) validateIdempotencyKey() error {
	if r.idempotencyKey == "" {
		return nil
	}
	if len(r.idempotencyKey) > maxIdempotencyKeyBytes || !idempotencyKeyPattern.MatchString(r.idempotencyKey) {
		return badRequest("bad_key", "%s must have 1 to %d visible ASCII characters", HeaderIdempotency, maxIdempotencyKeyBytes)
	}
	return nil
}

// errBodyTimeout is the error response if the body is not received in time.
var errBodyTimeout = &Error{
	Status: http.StatusRequestTimeout, Code: "body_not_read",
	Message: "body was not received in time",
}

// readBody reads the request body within the size and time limits.
func (g *Gateway) readBody(w http.ResponseWriter, req *request) error {
	control := http.NewResponseController(w)
	limit := time.Duration(g.cfg.Limits.ReadTimeoutMs) * time.Millisecond
	// ResponseWriters of tests may not support deadlines.
	_ = control.SetReadDeadline(time.Now().Add(limit))
	body, err := io.ReadAll(http.MaxBytesReader(w, req.http.Body, int64(g.cfg.Limits.MaxBodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &Error{
			Status: http.StatusRequestEntityTooLarge, Code: "body_too_large",
			Message: "body exceeds " + strconv.Itoa(g.cfg.Limits.MaxBodyBytes) + " bytes",
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyTimeout
	case err != nil:
		return errCallerDisconnected
	}
	// The deadline is cleared only on success. After a failure it still bounds the
	// server, which reads the rest of the body before it closes the connection.
	_ = control.SetReadDeadline(time.Time{})
	req.body = body
	return nil
}

// firstTokenTarget returns the class's target for the time to first token.
func (r *request) firstTokenTarget() time.Duration {
	return time.Duration(r.class.FirstTokenMs) * time.Millisecond
}

// spec returns the reservation parameters of the request. Requests of classes that
// refuse on a missed target are refused at the target, unless their deadline is
// earlier.
func (r *request) spec(pool *bundle.Pool) reservation.Spec {
	s := reservation.Spec{
		Pool:     pool,
		Class:    r.class,
		Customer: r.customer.Name,
		Arrived:  r.arrived,
		Target:   r.arrived.Add(r.firstTokenTarget()),
		Trace:    r.traceParent(),
	}
	if r.deadline > 0 {
		s.StartDeadline = r.arrived.Add(r.deadline)
	}
	if r.class.OnMiss == bundle.OnMissRefuse && (s.StartDeadline.IsZero() || s.Target.Before(s.StartDeadline)) {
		s.StartDeadline = s.Target
	}
	return s
}

// traceParent returns the W3C traceparent of the request's span, or "" if the
// span is not sampled.
func (r *request) traceParent() string {
	if !r.span.SpanContext().IsSampled() {
		return ""
	}
	return telemetry.Inject(r.http.Context())
}
