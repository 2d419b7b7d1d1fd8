package gateway

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleDecay weight a histogram towards the last five minutes.
const (
	sampleSize  = 1028
	sampleDecay = 0.015
)

// gatewayMetrics holds the metrics of a gateway.
type gatewayMetrics struct {
	registry metrics.Registry

	// served counts complete responses; callerLeft counts requests whose caller
	// disconnected.
	served     metrics.Counter
	callerLeft metrics.Counter
	// refused counts error responses of the gateway with status 429 and 503,
	// clientErrors other 4xx and serverErrors other 5xx.
	refused      metrics.Counter
	clientErrors metrics.Counter
	serverErrors metrics.Counter
	// retried counts dispatches after the first one of a request; resumed counts
	// those that resumed a stream.
	retried metrics.Counter
	resumed metrics.Counter
	// tokensDelivered counts output tokens of completed responses; tokensWasted
	// counts those of responses that could not be written to the caller, up to the
	// failed write.
	tokensDelivered metrics.Counter
	tokensWasted    metrics.Counter

	mu      sync.Mutex
	classes map[string]*classMetrics
}

// classMetrics holds the metrics of one class.
type classMetrics struct {
	targetMet    metrics.Counter
	targetMissed metrics.Counter
	// firstTokenMs is the time from the arrival of a request to its first token,
	// in milliseconds. If the response is not parsed, it is the time to the
	// complete response.
	firstTokenMs metrics.Histogram
}

func newGatewayMetrics(r metrics.Registry) *gatewayMetrics {
	return &gatewayMetrics{
		registry:        r,
		served:          metrics.NewRegisteredCounter("gateway.served", r),
		callerLeft:      metrics.NewRegisteredCounter("gateway.caller_left", r),
		refused:         metrics.NewRegisteredCounter("gateway.refused", r),
		clientErrors:    metrics.NewRegisteredCounter("gateway.rejected", r),
		serverErrors:    metrics.NewRegisteredCounter("gateway.broken", r),
		retried:         metrics.NewRegisteredCounter("gateway.retried", r),
		resumed:         metrics.NewRegisteredCounter("gateway.resumed", r),
		tokensDelivered: metrics.NewRegisteredCounter("gateway.tokens", r),
		tokensWasted:    metrics.NewRegisteredCounter("gateway.tokens_wasted", r),
		classes:         map[string]*classMetrics{},
	}
}

// countError counts an error response by its status.
func (m *gatewayMetrics) countError(status int) {
	switch {
	case status == 429 || status == 503:
		m.refused.Inc(1)
	case status < 500:
		m.clientErrors.Inc(1)
	default:
		m.serverErrors.Inc(1)
	}
}

// class returns the metrics of a class and registers them on first use.
func (m *gatewayMetrics) class(name string) *classMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.classes[name]
	if c == nil {
		prefix := "gateway.class." + name
		c = &classMetrics{
			targetMet:    metrics.NewRegisteredCounter(prefix+".target_met", m.registry),
			targetMissed: metrics.NewRegisteredCounter(prefix+".target_missed", m.registry),
			firstTokenMs: metrics.NewRegisteredHistogram(prefix+".first_token_ms", m.registry,
				metrics.NewExpDecaySample(sampleSize, sampleDecay)),
		}
		m.classes[name] = c
	}
	return c
}

// observeFirstToken records the wait for a first token and whether it met the
// class's target.
func (m *gatewayMetrics) observeFirstToken(class string, wait, target time.Duration) {
	c := m.class(class)
	c.firstTokenMs.Update(wait.Milliseconds())
	if wait <= target {
		c.targetMet.Inc(1)
		return
	}
	c.targetMissed.Inc(1)
}
