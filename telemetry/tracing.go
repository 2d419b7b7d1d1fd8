package telemetry

import (
	"context"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/jacinththread/jacinththread/settings"
)

const (
	tracerName = "github.com/jacinththread/jacinththread"
	// otlpPath is the path of the traces endpoint that OTLP over HTTP defines.
	otlpPath = "/v1/traces"
	// standardError is the span file name that selects standard error.
	standardError = "-"
	spanFileMode  = 0o644
)

// Tracing holds the tracer of a program and the exporters of its spans.
type Tracing struct {
	// Tracer creates spans. It is never nil.
	Tracer   oteltrace.Tracer
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// NewTracing sets up tracing as configured: spans are exported as OTLP over
// HTTP, to a file as JSON lines, to both or to neither. Without an exporter no
// spans are recorded, but the caller's trace context is still propagated. Spans
// have the program as service name and the daemon as service instance id.
func NewTracing(ctx context.Context, t settings.Telemetry, program, daemon string) (*Tracing, error) {
	if t.OTLPURL == "" && t.SpanFile == "" {
		return &Tracing{Tracer: noop.NewTracerProvider().Tracer(tracerName)}, nil
	}
	exporters, file, err := newExporters(ctx, t)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("service.instance.id", daemon),
		)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(t.SampleRatio))),
	}
	for _, e := range exporters {
		options = append(options, sdktrace.WithBatcher(e))
	}
	provider := sdktrace.NewTracerProvider(options...)
	return &Tracing{Tracer: provider.Tracer(tracerName), provider: provider, file: file}, nil
}

// newExporters returns the configured exporters, and the span file to close
// after their shutdown, if there is one.
func newExporters(ctx context.Context, t settings.Telemetry) ([]sdktrace.SpanExporter, io.Closer, error) {
	var exporters []sdktrace.SpanExporter
	if t.OTLPURL != "" {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(otlpEndpoint(t.OTLPURL)))
		if err != nil {
			return nil, nil, trace.Wrap(err, "creating span exporter to %s", t.OTLPURL)
		}
		exporters = append(exporters, e)
	}
	if t.SpanFile == "" {
		return exporters, nil, nil
	}
	e, file, err := fileExporter(t.SpanFile)
	if err != nil {
		return nil, nil, trace.Wrap(err, "opening span file %s", t.SpanFile)
	}
	return append(exporters, e), file, nil
}

// Shutdown exports the remaining spans and closes the span file. It stops
// exporting when ctx ends.
func (t *Tracing) Shutdown(ctx context.Context) error {
	var errs []error
	if t.provider != nil {
		errs = append(errs, t.provider.Shutdown(ctx))
	}
	if t.file != nil {
		errs = append(errs, t.file.Close())
	}
	return trace.NewAggregate(errs...)
}

// Flush calls Shutdown with a timeout and logs an error. Programs call it before
// they exit.
func (t *Tracing) Flush(timeout time.Duration, logger *log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := t.Shutdown(ctx); err != nil {
		logger.Warn("exporting spans failed", "err", err)
	}
}

// otlpEndpoint appends the standard path to a URL that has no path.
func otlpEndpoint(base string) string {
	u, err := url.Parse(base)
	if err != nil || (u.Path != "" && u.Path != "/") {
		return base
	}
	return u.JoinPath(otlpPath).String()
}

// fileExporter returns an exporter that appends one line per span to the file at
// path, and the file to close after its shutdown. For standard error, which must
// stay open, the file is nil.
func fileExporter(path string) (*stdouttrace.Exporter, io.Closer, error) {
	if path == standardError {
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(os.Stderr))
		return exporter, nil, err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, spanFileMode)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return exporter, f, nil
}
