package scheduler

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/policy"
	"github.com/jacinththread/jacinththread/telemetry"
)

// traceGrant records a span for the time that a sampled request waited in this
// scheduler's queue.
func (s *Service) traceGrant(now time.Time, r *policy.Reservation, server string) {
	if s.cfg.Tracer == nil || r.Trace == "" {
		return
	}
	ctx := telemetry.Extract(context.Background(), r.Trace)
	_, span := s.cfg.Tracer.Start(ctx, "schedule", trace.WithTimestamp(r.Queued),
		trace.WithAttributes(attribute.String("server", server), attribute.Int("tier", r.Tier)))
	span.End(trace.WithTimestamp(now))
}
