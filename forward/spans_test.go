package forward

import (
	"strings"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/route"
)

const callerTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// TestSpansPerRequestAndAttempt checks that the request's span is part of the
// caller's trace, that each attempt has a child span of it, and that the server
// receives the span context of its attempt.
func TestSpansPerRequestAndAttempt(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	d := newDeployment(t, route.Route{Name: "r", Prefix: "/", Kind: route.Idempotent, MaxAttempts: 2})
	d.tracer = sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter)).Tracer("")
	d.addServer("a", refuses)
	d.start()
	assert.Equal(t, d.send("GET", "/", "one", "Traceparent", callerTraceparent).status, 503)
	d.addServer("b", serves)
	for len(d.runsOf("two")) == 0 {
		assert.Equal(t, d.send("GET", "/", "two", "Traceparent", callerTraceparent).status, 200)
	}
	spans, byName := waitSpans(t, exporter, 2)
	for _, s := range spans {
		assert.Equal(t, s.SpanContext.TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
	}
	assert.Equal(t, byName["request"], 2)
	assert.Assert(t, byName["attempt"] >= 2)
	sent := strings.Split(d.runsOf("two")[0].trace, "-")
	assert.Equal(t, len(sent), 4)
	assert.Equal(t, parentName(spans, sent[2]), "request")
}

// waitSpans waits until the given number of request spans has ended, which
// happens after the callers have received their responses. It returns all spans
// and their number by name.
func waitSpans(t *testing.T, exporter *tracetest.InMemoryExporter, requests int) (tracetest.SpanStubs, map[string]int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		spans := exporter.GetSpans()
		byName := map[string]int{}
		for _, s := range spans {
			byName[s.Name]++
		}
		if byName["request"] >= requests {
			return spans, byName
		}
	}
	t.Fatal("the requests did not end")
	return nil, nil
}

// parentName returns the name of the parent of the span with the given ID.
func parentName(spans tracetest.SpanStubs, id string) string {
	for _, s := range spans {
		if s.SpanContext.SpanID().String() != id {
			continue
		}
		for _, parent := range spans {
			if parent.SpanContext.SpanID() == s.Parent.SpanID() {
				return parent.Name
			}
		}
	}
	return ""
}

// TestForwardsTraceContextWhenNotSampled checks that without an exporter the
// server receives the trace context unchanged from the caller.
func TestForwardsTraceContextWhenNotSampled(t *testing.T) {
	d := newDeployment(t, route.Route{Name: "r", Prefix: "/", Kind: route.Idempotent})
	d.addServer("a", serves)
	d.start()
	assert.Equal(t, d.send("GET", "/", "one", "Traceparent", callerTraceparent).status, 200)
	assert.Equal(t, d.runsOf("one")[0].trace, callerTraceparent)
}
