package forward

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/telemetry"
)

// startSpan starts the span of a request, in the caller's trace if it has one.
func (f *Forwarder) startSpan(ctx context.Context, q *request) (context.Context, trace.Span) {
	ctx = telemetry.ExtractHeader(ctx, q.in.Header)
	return f.cfg.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
}

// startAttemptSpan starts the span of one server that is tried.
func (q *request) startAttemptSpan(ctx context.Context) (context.Context, trace.Span) {
	return q.cfg.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
}

// handOnTrace names the attempt's span to the server. A trace that is not
// recorded here goes on as the caller sent it.
func handOnTrace(ctx context.Context, h http.Header) {
	if trace.SpanContextFromContext(ctx).IsSampled() {
		telemetry.InjectHeader(ctx, h)
	}
}

// describeSpan adds to the request's span how it ended.
func (q *request) describeSpan(route, server string) {
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
