package forward

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/telemetry"
)

// startSpan starts the server span of a request as a child of the caller's
// span, if the request has a trace context.
func (f *Forwarder) startSpan(ctx context.Context, q *request) (context.Context, trace.Span) {
	ctx = telemetry.ExtractHeader(ctx, q.in.Header)
	return f.cfg.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
}

// startAttemptSpan starts the client span of one attempt at a server.
func (q *request) startAttemptSpan(ctx context.Context) (context.Context, trace.Span) {
	return q.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
}

// injectTrace writes the span context of the attempt into the outgoing header.
// If the trace is not sampled, the caller's trace context is forwarded
// unchanged.
func injectTrace(ctx context.Context, h http.Header) {
	if trace.SpanContextFromContext(ctx).IsSampled() {
		telemetry.InjectHeader(ctx, h)
	}
}

// setSpanAttributes sets the attributes of the request's span once the outcome
// is known.
func (q *request) setSpanAttributes(route, server string) {
	if !q.span.IsRecording() {
		return
	}
	q.span.SetAttributes(
		attribute.String("request_id", q.meta.ID), attribute.String("route", route),
		attribute.String("customer", q.customer), attribute.String("server", server),
		attribute.String("outcome", string(q.outcome)), attribute.Int("status", q.status),
		attribute.Int("sends", q.sends),
	)
}
