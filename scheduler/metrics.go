package scheduler

import "github.com/rcrowley/go-metrics"

// counters are the metrics of the scheduler.
type counters struct {
	reserved   metrics.Counter
	granted    metrics.Counter
	accepted   metrics.Counter
	declined   metrics.Counter
	expired    metrics.Counter
	refused    metrics.Counter
	sendFailed metrics.Counter
	// lateAccepts counts accepted grants whose slot had been taken back.
	lateAccepts metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("scheduler."+name, r)
	}
	return counters{
		reserved:    counter("reserved"),
		granted:     counter("granted"),
		accepted:    counter("accepted"),
		declined:    counter("declined"),
		expired:     counter("expired"),
		refused:     counter("refused"),
		sendFailed:  counter("send_failed"),
		lateAccepts: counter("late_accepts"),
	}
}
