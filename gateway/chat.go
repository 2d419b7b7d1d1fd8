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

// Paths of the completion interfaces.
const (
	chatPath = "/v1/chat/completions"
	textPath = "/v1/completions"
)

// errCallerGone means that the caller takes no more of its answer.
var errCallerGone = errors.New("caller does not receive the answer")

// resumeWait bounds the wait for a slot to resume a stream that was cut.
const resumeWait = 10 * time.Second

// resumePause is the time until a stream that found no server asks again.
const resumePause = 100 * time.Millisecond

func (g *Gateway) serveChat(w http.ResponseWriter, req *request) error {
	return g.serveCompletion(w, req, chatPath)
}

func (g *Gateway) serveText(w http.ResponseWriter, req *request) error {
	return g.serveCompletion(w, req, textPath)
}

func (g *Gateway) serveCompletion(w http.ResponseWriter, req *request, path string) error {
	// Completions are idempotent, so a key has no claim.
	req.run = NotRun
	c, err := parseCompletion(path, req.body)
	if err != nil {
		return err
	}
	pool := req.active.PoolOfModel(c.head.Model)
	if pool == nil {
		return badRequest("unknown_model", "model %q is not served", c.head.Model)
	}
	var out sink
	switch {
	case c.head.Stream:
		out = newStreamSink(w, req)
	case c.resumable:
		out = newWholeSink(w, req, path == chatPath)
	default:
		return g.runWhole(w, req, c, pool)
	}
	d := &delivery{gateway: g, req: req, completion: c, pool: pool, out: out}
	return d.run(req.http.Context())
}

// delivery runs one completion to its end, over several backend servers if it
// has to. It belongs to one goroutine.
type delivery struct {
	gateway    *Gateway
	req        *request
	completion *completion
	pool       *bundle.Pool
	out        sink

	avoid []string
	// offset and text are what the caller has got so far.
	offset int
	text   strings.Builder
}

func (d *delivery) run(ctx context.Context) error {
	g := d.gateway
	g.budgets.deposit(d.req.class)
	for n := 1; ; n++ {
		err := d.attempt(ctx)
		if err == nil {
			g.lengths.observe(d.req, d.offset)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, errCallerGone) {
			return err
		}
		if !d.retryable(err, n) {
			e := d.finalError(err)
			d.out.abort(e)
			return e
		}
		g.counters.retried.Inc(1)
		if d.offset > 0 {
			g.counters.resumed.Inc(1)
		}
	}
}

// retryable reports whether a failed attempt may be followed by another.
func (d *delivery) retryable(err error, dispatches int) bool {
	var refused *reservation.Refusal
	var status *dispatch.StatusError
	switch {
	case errors.As(err, &refused) || dispatches >= maxDispatches:
		return false
	case d.offset > 0 && !d.completion.resumable:
		return false
	case dispatch.NotRun(err):
		return true
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return false
	}
	return d.gateway.budgets.spend(d.req.class)
}

// finalError turns the last failure into the caller's answer.
func (d *delivery) finalError(err error) *Error {
	var refused *reservation.Refusal
	var status *dispatch.StatusError
	switch {
	case errors.As(err, &refused):
		return refusalError(refused)
	case errors.As(err, &status) && status.Status < http.StatusInternalServerError:
		return &Error{Status: status.Status, Code: "engine_rejected", Message: string(status.Body)}
	}
	return &Error{
		Status: http.StatusBadGateway, Code: "engine_failed",
		Message: "the backend servers did not complete the answer", RetryAfter: time.Second,
	}
}

// refusalError turns a refusal into an answer that says when to come back.
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

// attempt gets a slot and runs the request, or the rest of it, on one server.
func (d *delivery) attempt(ctx context.Context) error {
	slot, err := d.acquire(ctx)
	if err != nil {
		return err
	}
	report, err := d.dispatch(ctx, slot)
	report.Outcome = outcomeOf(ctx, err)
	slot.Done(report)
	if err != nil {
		d.avoid = append(d.avoid, slot.Server.Name)
	}
	if errors.Is(err, dispatch.ErrDraining) {
		d.gateway.cfg.View.ReportLeaving(slot.Server.Name)
	}
	return err
}

func (d *delivery) acquire(ctx context.Context) (*reservation.Slot, error) {
	spec := d.req.spec(d.pool)
	spec.Cost = d.gateway.lengths.cost(d.req, d.completion.maxTokens())
	spec.Prefix = d.completion.prefix
	spec.Avoid = d.avoid
	if d.offset == 0 {
		return d.gateway.acquire(ctx, d.req, spec)
	}
	spec.GiveUp = time.Now().Add(resumeWait)
	for {
		slot, err := d.gateway.acquire(ctx, d.req, spec)
		if err == nil || !d.mayFindServer(err) || time.Until(spec.GiveUp) < resumePause {
			return slot, err
		}
		time.Sleep(resumePause)
	}
}

// mayFindServer reports whether a refused stream should ask again: no
// scheduler had a server for it, although one is live that has not failed it.
// That passes when a stopping daemon's servers have a new scheduler or a silent
// peer link is replaced.
func (d *delivery) mayFindServer(err error) bool {
	var refused *reservation.Refusal
	if !errors.As(err, &refused) {
		return false
	}
	if refused.Reason != scheduler.ReasonNoServer && refused.Reason != scheduler.ReasonStopping {
		return false
	}
	for _, s := range d.gateway.cfg.View.Servers(d.pool.Service) {
		if !s.Leaving && d.pool.Holds(s.Name) && !slices.Contains(d.avoid, s.Name) {
			return true
		}
	}
	return false
}

// acquire waits for a slot within a span.
func (g *Gateway) acquire(ctx context.Context, req *request, spec reservation.Spec) (*reservation.Slot, error) {
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

// outcomeOf classifies an attempt for the scheduler.
func outcomeOf(ctx context.Context, err error) scheduler.Outcome {
	switch {
	case err == nil:
		return scheduler.OutcomeOK
	case ctx.Err() != nil || errors.Is(err, errCallerGone):
		return scheduler.OutcomeCanceled
	case errors.Is(err, dispatch.ErrSilent):
		return scheduler.OutcomeSilent
	}
	return scheduler.OutcomeFailed
}

// dispatch sends the request to the slot's server and relays the answer.
func (d *delivery) dispatch(ctx context.Context, slot *reservation.Slot) (reservation.Report, error) {
	ctx, span := d.gateway.startDispatch(ctx, slot)
	defer span.End()
	body, err := d.completion.encode(d.req.class, true, resumePoint{Offset: d.offset, Text: d.text.String()})
	if err != nil {
		return reservation.Report{}, err
	}
	before := d.req.run
	d.req.run = Unknown
	call := dispatch.Call{Method: http.MethodPost, Path: d.completion.path, Header: d.req.backendHeader(ctx), Body: body}
	stream, err := d.gateway.cfg.Backends.OpenStream(ctx, slot.Server, call, d.offset)
	if err != nil {
		if dispatch.NotRun(err) {
			d.req.run = before
		}
		span.SetStatus(codes.Error, "not opened")
		return reservation.Report{}, err
	}
	defer stream.Close()
	err = d.relay(stream)
	t := stream.Timing()
	span.SetAttributes(attribute.Int("tokens", t.Tokens))
	return reservation.Report{Tokens: t.Tokens, First: t.First, Gap: t.Gap}, err
}

// relay passes events on to the caller until the terminal marker.
func (d *delivery) relay(stream *dispatch.Stream) error {
	for {
		ev, err := stream.Next()
		if errors.Is(err, io.EOF) {
			d.gateway.counters.tokens.Inc(int64(d.offset))
			if err := d.out.end(); err != nil {
				return fmt.Errorf("%w: %v", errCallerGone, err)
			}
			return nil
		}
		if err != nil {
			return err
		}
		d.req.run = Ran
		if d.offset == 0 && ev.Chunk.Text() != "" {
			d.gateway.counters.observe(d.req.class.Name, time.Since(d.req.arrived), d.req.firstTokenTarget())
		}
		if err := d.out.event(ev); err != nil {
			d.gateway.counters.wasted.Inc(int64(stream.Offset()))
			return fmt.Errorf("%w: %v", errCallerGone, err)
		}
		d.offset = stream.Offset()
		d.text.WriteString(ev.Chunk.Text())
	}
}

// runWhole serves an answer that the router does not take apart.
func (g *Gateway) runWhole(w http.ResponseWriter, req *request, c *completion, pool *bundle.Pool) error {
	body, err := c.encode(req.class, false, resumePoint{})
	if err != nil {
		return err
	}
	call := dispatch.Call{Method: http.MethodPost, Path: c.path, Header: http.Header{}, Body: body}
	spec := req.spec(pool)
	spec.Cost = g.lengths.cost(req, c.maxTokens())
	spec.Prefix = c.prefix
	return g.runRepeatable(w, req, call, spec)
}

// startDispatch opens the span of one dispatch.
func (g *Gateway) startDispatch(ctx context.Context, slot *reservation.Slot) (context.Context, trace.Span) {
	return g.cfg.Tracer.Start(ctx, "dispatch", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", slot.Server.Name)))
}
