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
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/telemetry"
)

const (
	maxDeadline   = 24 * time.Hour
	maxKeyBytes   = 255
	notReadyRetry = time.Second
)

var keyPattern = regexp.MustCompile(`^[\x21-\x7e]+$`)

// request is one caller's request while the gateway holds it. It belongs to
// the goroutine that serves it.
type request struct {
	http    *http.Request
	id      string
	arrived time.Time
	span    trace.Span

	active   *bundle.Active
	customer *bundle.Customer
	class    *bundle.Class
	// deadline is how long after its arrival the caller wants the request
	// started; zero means no bound.
	deadline time.Duration
	key      string
	body     []byte

	// run is what an error tells the caller about the request.
	run RunState
	// begun is set once a part of the answer was written.
	begun bool
}

func (g *Gateway) newRequest(r *http.Request) *request {
	ctx := telemetry.ExtractHeader(r.Context(), r.Header)
	req := &request{id: uuid.NewString(), arrived: time.Now(), run: NotRun}
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

// admit identifies the caller, its class and its bounds, and reads the body.
func (g *Gateway) admit(w http.ResponseWriter, req *request) error {
	req.key = req.http.Header.Get(HeaderIdempotency)
	if req.key != "" {
		// An earlier attempt with the same key may have run.
		req.run = Unknown
	}
	req.active = g.cfg.Bundles.Current()
	if req.active == nil {
		return &Error{
			Status: http.StatusServiceUnavailable, Code: "not_ready",
			Message: "no bundle version is in force yet", RetryAfter: notReadyRetry,
		}
	}
	w.Header().Set(HeaderBundle, strconv.FormatUint(req.active.Version, 10))
	if err := req.authenticate(); err != nil {
		return err
	}
	if err := req.chooseClass(); err != nil {
		return err
	}
	if err := req.readDeadline(); err != nil {
		return err
	}
	if err := req.checkKey(); err != nil {
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

func (r *request) chooseClass() error {
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

func (r *request) readDeadline() error {
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

func (r *request) checkKey() error {
	if r.key == "" {
		return nil
	}
	if len(r.key) > maxKeyBytes || !keyPattern.MatchString(r.key) {
		return badRequest("bad_key", "%s must have 1 to %d visible ASCII characters", HeaderIdempotency, maxKeyBytes)
	}
	return nil
}

// errBodyTimeout is the answer to a caller that sends its body too slowly.
var errBodyTimeout = &Error{
	Status: http.StatusRequestTimeout, Code: "body_not_read",
	Message: "body was not received in time",
}

// readBody reads the whole body within the size and time limits.
func (g *Gateway) readBody(w http.ResponseWriter, req *request) error {
	control := http.NewResponseController(w)
	limit := time.Duration(g.cfg.Limits.ReadTimeoutMs) * time.Millisecond
	// Not every ResponseWriter of a test supports deadlines.
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
		return errCallerGone
	}
	// After a failure the deadline stays: the server reads on before it closes
	// the connection.
	_ = control.SetReadDeadline(time.Time{})
	req.body = body
	return nil
}

// firstTokenTarget returns the class's target as a duration.
func (r *request) firstTokenTarget() time.Duration {
	return time.Duration(r.class.FirstTokenMs) * time.Millisecond
}

// spec describes the request to the schedulers.
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
		s.GiveUp = r.arrived.Add(r.deadline)
	}
	if r.class.OnMiss == bundle.Refuse && (s.GiveUp.IsZero() || s.Target.Before(s.GiveUp)) {
		s.GiveUp = s.Target
	}
	return s
}

// traceParent returns the traceparent of the request's span, or "" if the span
// is not sampled.
func (r *request) traceParent() string {
	if !r.span.SpanContext().IsSampled() {
		return ""
	}
	return telemetry.Inject(r.http.Context())
}
