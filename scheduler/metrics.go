package scheduler

import "github.com/rcrowley/go-metrics"

// waitSamples is the sample size of the wait histogram.
const waitSamples = 1028

// schedulerMetrics holds the metrics of the scheduler.
type schedulerMetrics struct {
	reserved metrics.Counter
	granted  metrics.Counter
	accepted metrics.Counter
	declined metrics.Counter
	// expired counts grants withdrawn because they were not accepted in time.
	expired metrics.Counter
	// lateAccepts counts grants that were accepted after they had expired.
	lateAccepts metrics.Counter
	refused     metrics.Counter
	evicted     metrics.Counter
	// allowance counts grants out of tier order that prevent starvation.
	allowance metrics.Counter
	// adopted counts slots in use that became known only by a Declare message.
	adopted metrics.Counter
	// reclaimed counts slots freed because their gateway no longer lists them or
	// has left the cluster.
	reclaimed  metrics.Counter
	takeovers  metrics.Counter
	held       metrics.Counter
	sendFailed metrics.Counter
	waiting    metrics.Gauge
	running    metrics.Gauge
	slots      metrics.Gauge
	stragglers metrics.Gauge
	// wait is the time from the request's arrival to its grant, in milliseconds.
	wait metrics.Histogram
}

func newSchedulerMetrics(r metrics.Registry) schedulerMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("scheduler."+name, r)
	}
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("scheduler."+name, r)
	}
	return schedulerMetrics{
		reserved:    counter("reserved"),
		granted:     counter("granted"),
		accepted:    counter("accepted"),
		declined:    counter("declined"),
		expired:     counter("expired"),
		lateAccepts: counter("late_accepts"),
		refused:     counter("refused"),
		evicted:     counter("evicted"),
		allowance:   counter("allowance"),
		adopted:     counter("adopted"),
		reclaimed:   counter("reclaimed"),
		takeovers:   counter("takeovers"),
		held:        counter("held_gateways"),
		sendFailed:  counter("send_failed"),
		waiting:     gauge("waiting"),
		running:     gauge("running"),
		slots:       gauge("slots"),
		stragglers:  gauge("stragglers"),
		wait:        metrics.GetOrRegisterHistogram("scheduler.wait_ms", r, metrics.NewUniformSample(waitSamples)),
	}
}
