package telemetry

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/propagation"
)

// traceParent is the name of the W3C trace context header.
const traceParent = "traceparent"

var propagator = propagation.TraceContext{}

// InjectHeader adds the trace context of ctx to the headers of a request.
func InjectHeader(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// ExtractHeader returns ctx with the trace context of a request's headers as
// its remote parent. It returns ctx unchanged if the headers have no valid one.
func ExtractHeader(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject returns the trace context of ctx as a W3C traceparent, or "" if ctx has
// none.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[traceParent]
}

// Extract returns ctx with a W3C traceparent as its remote parent. It returns
// ctx unchanged if parent is empty or invalid.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{traceParent: parent})
}
