package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	oteltrace "go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/settings"
)

const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

// spanLine is the part of a line of the span file that the tests read.
type spanLine struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

func TestSpanFileHoldsOneLinePerSpan(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans")
	for range 2 { // The second run appends to the file of the first.
		tr, err := NewTracing(t.Context(), settings.Telemetry{SpanFile: path, SampleRatio: 0}, "program", "entry-1")
		assert.NilError(t, err)
		ctx := Extract(t.Context(), parent)
		ctx, outer := tr.Tracer.Start(ctx, "gateway")
		_, inner := tr.Tracer.Start(ctx, "dispatch")
		inner.End()
		outer.End()
		assert.NilError(t, tr.Shutdown(t.Context()))
	}
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	assert.Equal(t, len(lines), 4)
	var inner, outer spanLine
	assert.NilError(t, json.Unmarshal(lines[0], &inner))
	assert.NilError(t, json.Unmarshal(lines[1], &outer))
	assert.Equal(t, inner.Name, "dispatch")
	assert.Equal(t, outer.SpanContext.TraceID, "0af7651916cd43dd8448eb211c80319c")
	assert.Equal(t, outer.Parent.SpanID, "b7ad6b7169203331")
	assert.Equal(t, inner.Parent.SpanID, outer.SpanContext.SpanID)
	assert.Assert(t, bytes.Contains(lines[0], []byte("entry-1")))
}

func TestSampleRatioZeroRecordsNoNewTraces(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans")
	tr, err := NewTracing(t.Context(), settings.Telemetry{SpanFile: path, SampleRatio: 0}, "program", "entry-1")
	assert.NilError(t, err)
	_, span := tr.Tracer.Start(t.Context(), "gateway")
	span.End()
	assert.NilError(t, tr.Shutdown(t.Context()))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 0)
}

func TestSpansAreExportedOverHTTP(t *testing.T) {
	paths := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if bytes.Contains(body, []byte("dispatch")) && bytes.Contains(body, []byte("entry-1")) {
			paths <- r.URL.Path
		}
	}))
	defer collector.Close()
	tr, err := NewTracing(t.Context(), settings.Telemetry{OTLPURL: collector.URL, SampleRatio: 1}, "program", "entry-1")
	assert.NilError(t, err)
	_, span := tr.Tracer.Start(t.Context(), "dispatch")
	span.End()
	assert.NilError(t, tr.Shutdown(t.Context()))
	assert.Equal(t, <-paths, "/v1/traces")
}

func TestTraceContextIsPropagatedWithoutExport(t *testing.T) {
	tr, err := NewTracing(t.Context(), settings.Telemetry{}, "program", "entry-1")
	assert.NilError(t, err)
	in := http.Header{}
	in.Set("traceparent", parent)
	ctx, span := tr.Tracer.Start(ExtractHeader(t.Context(), in), "gateway")
	defer span.End()
	assert.Assert(t, !span.IsRecording())
	assert.Equal(t, Inject(ctx), parent)
	out := http.Header{}
	InjectHeader(ctx, out)
	assert.Equal(t, out.Get("traceparent"), parent)
	assert.NilError(t, tr.Shutdown(t.Context()))
}

func TestInvalidTraceParentChangesNothing(t *testing.T) {
	for _, text := range []string{"", "x", "00-00000000000000000000000000000000-b7ad6b7169203331-01"} {
		ctx := Extract(context.Background(), text)
		assert.Assert(t, !oteltrace.SpanContextFromContext(ctx).IsValid(), text)
		assert.Equal(t, Inject(ctx), "")
	}
}

func TestSpanFileInMissingDirectory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none", "spans")
	_, err := NewTracing(t.Context(), settings.Telemetry{SpanFile: path}, "program", "entry-1")
	assert.ErrorContains(t, err, path)
}
