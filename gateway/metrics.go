package gateway

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleDecay favor the last five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// counters holds the gateway's metrics.
type counters struct {
	registry metrics.Registry

	// served counts complete answers; left counts callers that went away.
	served metrics.Counter
	left   metrics.Counter
	// refused counts answers 429 and 503; rejected counts other 4xx.
	refused  metrics.Counter
	rejected metrics.Counter
	broken   metrics.Counter
	// retried counts dispatches after the first of a request; resumed counts
	// those that went on in the middle of a stream.
	retried metrics.Counter
	resumed metrics.Counter
	// tokens counts tokens delivered; wasted counts tokens received that no
	// caller got.
	tokens metrics.Counter
	wasted metrics.Counter

	mu      sync.Mutex
	classes map[string]*classCounters
}

// classCounters holds the metrics of one class.
type classCounters struct {
	met    metrics.Counter
	missed metrics.Counter
	// firstMs is the time from a request's arrival to its first token, in
	// milliseconds.
	firstMs metrics.Histogram
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		registry: r,
		served:   metrics.NewRegisteredCounter("gateway.served", r),
		left:     metrics.NewRegisteredCounter("gateway.caller_left", r),
		refused:  metrics.NewRegisteredCounter("gateway.refused", r),
		rejected: metrics.NewRegisteredCounter("gateway.rejected", r),
		broken:   metrics.NewRegisteredCounter("gateway.broken", r),
		retried:  metrics.NewRegisteredCounter("gateway.retried", r),
		resumed:  metrics.NewRegisteredCounter("gateway.resumed", r),
		tokens:   metrics.NewRegisteredCounter("gateway.tokens", r),
		wasted:   metrics.NewRegisteredCounter("gateway.tokens_wasted", r),
		classes:  map[string]*classCounters{},
	}
}

func (c *counters) failed(status int) {
	switch {
	case status == 429 || status == 503:
		c.refused.Inc(1)
	case status < 500:
		c.rejected.Inc(1)
	default:
		c.broken.Inc(1)
	}
}

func (c *counters) class(name string) *classCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.classes[name]
	if cc == nil {
		prefix := "gateway.class." + name
		cc = &classCounters{
			met:    metrics.NewRegisteredCounter(prefix+".target_met", c.registry),
			missed: metrics.NewRegisteredCounter(prefix+".target_missed", c.registry),
			firstMs: metrics.NewRegisteredHistogram(prefix+".first_token_ms", c.registry,
				metrics.NewExpDecaySample(sampleSize, sampleDecay)),
		}
		c.classes[name] = cc
	}
	return cc
}

// observe counts a first token against its target.
func (c *counters) observe(class string, wait, target time.Duration) {
	cc := c.class(class)
	cc.firstMs.Update(wait.Milliseconds())
	if wait <= target {
		cc.met.Inc(1)
		return
	}
	cc.missed.Inc(1)
}
