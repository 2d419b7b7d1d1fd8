package scheduler

import "github.com/rcrowley/go-metrics"

// waitSamples is the number of waits kept for the histogram.
const waitSamples = 1028

// counters are the metrics of the scheduler.
type counters struct {
	reserved metrics.Counter
	granted  metrics.Counter
	accepted metrics.Counter
	declined metrics.Counter
	// expired counts grants taken back because they were not accepted.
	expired metrics.Counter
	// lateAccepts counts accepted grants whose slot had been taken back.
	lateAccepts metrics.Counter
	refused     metrics.Counter
	evicted     metrics.Counter
	// allowance counts grants out of tier order against starvation.
	allowance metrics.Counter
	// adopted counts slots found in use by a declaration.
	adopted metrics.Counter
	// reclaimed counts slots freed because the gateway no longer uses them or
	// is gone.
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

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("scheduler."+name, r)
	}
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("scheduler."+name, r)
	}
	return counters{
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
