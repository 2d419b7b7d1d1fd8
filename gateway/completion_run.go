package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/dispatch"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/scheduler"
	"github.com/jacinththread/jacinththread/telemetry"
)

// Paths of the completion endpoints.
const (
	chatPath = "/v1/chat/completions"
	textPath = "/v1/completions"
)

// errCallerDisconnected means that the caller disconnected or does not read the
// response.
var errCallerDisconnected = errors.New("caller disconnected or does not read the response")

// resumeTimeout limits the wait for a slot to resume an interrupted stream.
const resumeTimeout = 10 * time.Second

// resumeRetryInterval is the delay before a stream that found no server requests
// a slot again.
const resumeRetryInterval = 100 * time.Millisecond

func (g *Gateway) serveChat(w http.ResponseWriter, req *request) error {
	return g.serveCompletion(w, req, chatPath)
}

func (g *Gateway) serveText(w http.ResponseWriter, req *request) error {
	return g.serveCompletion(w, req, textPath)
}

func (g *Gateway) serveCompletion(w http.ResponseWriter, req *request, path string) error {
	// Completions are idempotent, so an Idempotency-Key is not claimed and no
	// earlier attempt matters.
	req.runState = NotRun
	c, err := parseCompletion(path, req.body)
	if err != nil {
		return err
	}
	req.suspectMessages(c.params.Messages)
	pool := req.active.PoolOfModel(c.params.Model)
	if pool == nil {
		return badRequest("unknown_model", "model %q is not served", c.params.Model)
	}
	var out sink
	switch {
	case c.params.Stream:
		out = newStreamSink(w, req)
	case c.resumable:
		out = newBufferedSink(w, req, path == chatPath)
	default:
		return g.runPassthrough(w, req, c, pool)
	}
	r := &completionRun{gateway: g, req: req, completion: c, pool: pool, out: out}
	return r.run(req.http.Context())
}

// completionRun runs one completion until it ends, on several backend servers if
// attempts fail. It must be used by one goroutine only.
type completionRun struct {
	gateway    *Gateway
	req        *request
	completion *completion
	pool       *bundle.Pool
	out        sink

	// excludedServers lists the servers on which an attempt failed.
	excludedServers []string
	// offset is the number of tokens passed to out so far; text is their text.
	offset int
	text   strings.Builder
}

// run makes attempts until one succeeds, the caller disconnects or no further
// attempt is allowed.
func (r *completionRun) run(ctx context.Context) error {
	g := r.gateway
	g.retryBudgets.deposit(r.req.class)
	for n := 1; ; n++ {
		err := r.attempt(ctx)
		if err == nil {
			g.outputLengths.observe(r.req, r.offset)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, errCallerDisconnected) {
			return err
		}
		if !r.retryable(err, n) {
			e := r.finalError(err)
			r.out.abort(e)
			return e
		}
		g.metrics.retried.Inc(1)
		if r.offset > 0 {
			g.metrics.resumed.Inc(1)
		}
	}
}

// retryable reports whether the request may be dispatched again after err. An
// attempt that the server may have run takes a retry from the class's budget.
func (r *completionRun) retryable(err error, dispatches int) bool {
	var refused *reservation.Refusal
	var status *dispatch.StatusError
	var final *Error
	switch {
	case errors.As(err, &refused) || errors.As(err, &final):
		return false
	case dispatches >= maxDispatches || r.req.crashes >= maxCrashes:
		return false
	case r.offset > 0 && !r.completion.resumable:
		return false
	case r.offset > 0 && errors.Is(err, dispatch.ErrContradictoryOffset):
		return false // What the caller has can't be told.
	case dispatch.NotRun(err):
		return true
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return false
	}
	return r.gateway.retryBudgets.spend(r.req.class)
}

// finalError returns the error response for the last failed attempt.
func (r *completionRun) finalError(err error) *Error {
	var refused *reservation.Refusal
	var status *dispatch.StatusError
	var final *Error
	switch {
	case errors.As(err, &refused):
		return refusalError(refused)
	case errors.As(err, &final):
		return final
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return &Error{Status: status.Status, Code: "engine_rejected", Message: string(status.Body)}
	}
	return &Error{
		Status: http.StatusBadGateway, Code: "engine_failed",
		Message: "the backend servers did not complete the answer", RetryAfter: time.Second,
	}
}

// refusalError returns the error response for a request that got no slot, with the
// delay after which the caller may retry.
func refusalError(r *reservation.Refusal) *Error {
	e := &Error{Status: http.StatusServiceUnavailable, RetryAfter: r.RetryAfter}
	switch r.Reason {
	case scheduler.ReasonNoServer, scheduler.ReasonStopping:
		e.Code, e.Message = "no_server", "no backend server may take the request now"
	case scheduler.ReasonDeadline:
		e.Status = http.StatusTooManyRequests
		e.Code, e.Message = "deadline", "the request would not be started in time"
	default:
		e.Status = http.StatusTooManyRequests
		e.Code, e.Message = "overloaded", "more important work fills the backend servers"
	}
	return e
}

// attempt acquires a slot and runs the request, or the rest of it, on one server.
func (r *completionRun) attempt(ctx context.Context) error {
	slot, err := r.acquire(ctx)
	if err != nil {
		return err
	}
	report, err := r.dispatch(ctx, slot)
	r.gateway.observeAttempt(ctx, r.req, slot.Server, report.Tokens, err)
	report.Outcome = attemptOutcome(ctx, err)
	slot.Done(report)
	if err != nil {
		r.excludedServers = append(r.excludedServers, slot.Server.Name)
	}
	if errors.Is(err, dispatch.ErrDraining) {
		r.gateway.cfg.View.ReportLeaving(slot.Server.Name)
	}
	return err
}

// acquire waits for a slot. To resume a stream, it retries for resumeTimeout while
// no scheduler offers a server.
func (r *completionRun) acquire(ctx context.Context) (*reservation.Slot, error) {
	spec := r.req.spec(r.pool)
	spec.Cost = r.gateway.outputLengths.cost(r.req, r.completion.maxTokens())
	spec.Prefix = r.completion.prefixHash
	spec.ExcludedServers = r.excludedServers
	if r.offset == 0 {
		return r.gateway.acquire(ctx, r.req, spec)
	}
	spec.StartDeadline = time.Now().Add(resumeTimeout)
	for {
		slot, err := r.gateway.acquire(ctx, r.req, spec)
		if err == nil || !r.retryableRefusal(err) || time.Until(spec.StartDeadline) < resumeRetryInterval {
			return slot, err
		}
		time.Sleep(resumeRetryInterval)
	}
}

// retryableRefusal reports whether a refused stream should request a slot again: no
// scheduler had a server for it, although a live server exists on which it has not
// failed. The condition is temporary: it ends when the servers of a stopping
// daemon get a new scheduler or an unresponsive peer link is replaced.
func (r *completionRun) retryableRefusal(err error) bool {
	var refused *reservation.Refusal
	if !errors.As(err, &refused) {
		return false
	}
	if refused.Reason != scheduler.ReasonNoServer && refused.Reason != scheduler.ReasonStopping {
		return false
	}
	for _, s := range r.gateway.cfg.View.Servers(r.pool.Service) {
		if !s.Leaving && r.pool.Contains(s.Name) && !slices.Contains(r.excludedServers, s.Name) {
			return true
		}
	}
	return false
}

// acquire waits for a slot and records the wait as a span. It returns errWithheld for a request that may not
// be sent.
func (g *Gateway) acquire(ctx context.Context, req *request, spec reservation.Spec) (*reservation.Slot, error) {
	if err := g.checkCrashes(ctx, req, spec.Pool.Service); err != nil {
		return nil, err
	}
	ctx, span := g.cfg.Tracer.Start(ctx, "reservation")
	defer span.End()
	if span.SpanContext().IsSampled() {
		spec.Trace = telemetry.Inject(ctx)
	}
	slot, err := g.cfg.Reservations.Acquire(ctx, spec)
	if err != nil {
		span.SetStatus(codes.Error, "no slot")
		return nil, err
	}
	span.SetAttributes(attribute.String("server", slot.Server.Name))
	return slot, nil
}

// attemptOutcome returns the outcome of an attempt as reported to the scheduler.
func attemptOutcome(ctx context.Context, err error) scheduler.Outcome {
	switch {
	case err == nil:
		return scheduler.OutcomeOK
	case ctx.Err() != nil || errors.Is(err, errCallerDisconnected):
		return scheduler.OutcomeCanceled
	case errors.Is(err, dispatch.ErrNoProgress):
		return scheduler.OutcomeNoProgress
	}
	return scheduler.OutcomeFailed
}

// dispatch sends the request to the slot's server and relays the response.
func (r *completionRun) dispatch(ctx context.Context, slot *reservation.Slot) (reservation.Report, error) {
	ctx, span := r.gateway.startDispatch(ctx, slot)
	defer span.End()
	body, err := r.completion.encode(r.req.class, true, resumePoint{Offset: r.offset, Text: r.text.String()})
	if err != nil {
		return reservation.Report{}, err
	}
	previous := r.req.runState
	r.req.runState = Unknown
	call := dispatch.Call{Method: http.MethodPost, Path: r.completion.path, Header: r.req.completionHeader(ctx), Body: body}
	stream, err := r.gateway.cfg.Backends.OpenStream(ctx, slot.Server, call, r.offset)
	if err != nil {
		if dispatch.NotRun(err) {
			r.req.runState = previous
		}
		span.SetStatus(codes.Error, "not opened")
		return reservation.Report{}, err
	}
	defer stream.Close()
	err = r.relay(stream)
	t := stream.Timing()
	span.SetAttributes(attribute.Int("tokens", t.Tokens))
	return reservation.Report{Tokens: t.Tokens, FirstToken: t.First, TokenGap: t.Gap}, err
}

// relay passes events to the sink until the terminal marker.
func (r *completionRun) relay(stream *dispatch.Stream) error {
	for {
		ev, err := stream.Next()
		if errors.Is(err, io.EOF) {
			r.gateway.metrics.tokensDelivered.Inc(int64(r.offset))
			if err := r.out.end(); err != nil {
				return fmt.Errorf("%w: %v", errCallerDisconnected, err)
			}
			return nil
		}
		if err != nil {
			return err
		}
		r.req.runState = Ran
		if r.offset == 0 && ev.Chunk.Text() != "" {
			r.gateway.metrics.observeFirstToken(r.req.class.Name, time.Since(r.req.arrived), r.req.firstTokenTarget())
		}
		if err := r.out.event(ev); err != nil {
			r.gateway.metrics.tokensWasted.Inc(int64(stream.Offset()))
			return fmt.Errorf("%w: %v", errCallerDisconnected, err)
		}
		r.offset = stream.Offset()
		r.text.WriteString(ev.Chunk.Text())
	}
}

// runPassthrough serves a completion that cannot be resumed and is not streamed. Its
// response is relayed without being parsed.
func (g *Gateway) runPassthrough(w http.ResponseWriter, req *request, c *completion, pool *bundle.Pool) error {
	body, err := c.encode(req.class, false, resumePoint{})
	if err != nil {
		return err
	}
	call := dispatch.Call{Method: http.MethodPost, Path: c.path, Header: http.Header{}, Body: body}
	spec := req.spec(pool)
	spec.Cost = g.outputLengths.cost(req, c.maxTokens())
	spec.Prefix = c.prefixHash
	return g.runRepeatable(w, req, call, spec)
}

// startDispatch starts the span of one dispatch.
func (g *Gateway) startDispatch(ctx context.Context, slot *reservation.Slot) (context.Context, trace.Span) {
	return g.cfg.Tracer.Start(ctx, "dispatch", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", slot.Server.Name)))
}
