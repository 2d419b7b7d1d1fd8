package admission

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// minInterval and maxInterval bound the time between two turns of a service.
const (
	minInterval = 4 * time.Millisecond
	maxInterval = 100 * time.Millisecond
)

// Outcome is what became of a request that waited.
type Outcome uint8

// Outcomes of waiting.
const (
	// Turn: the request may be placed now. If it is refused, it may wait again.
	Turn Outcome = iota
	// Late: the request can't start in time any more, or is not likely to.
	Late
	// Full: more urgent requests took its place.
	Full
	// Gone: the caller left, or the request's time has passed.
	Gone
)

// Waiters are the waiting requests of all services. It is safe for concurrent use. A nil Waiters lets nobody
// wait.
type Waiters struct {
	limits Limits

	mu       sync.Mutex
	services map[string]*serviceQueue

	joined, turns, late, full metrics.Counter
	waiting                   metrics.Gauge
	waited                    metrics.Histogram
}

// serviceQueue is the queue of a service and the goroutines that wait in it.
type serviceQueue struct {
	queue Queue
	wake  map[*Entry]chan Outcome
	// interval is the time between two turns, as of the last request that joined.
	interval time.Duration
	// timer is that of the next turn; nil if nobody waits.
	timer *time.Timer
}

// waitedSamples and waitedAlpha configure the sample of waiting times; it weights about the last five minutes.
const (
	waitedSamples = 512
	waitedAlpha   = 0.015
)

// NewWaiters returns empty queues and registers their metrics.
func NewWaiters(l Limits, registry metrics.Registry) *Waiters {
	return &Waiters{
		limits: l, services: map[string]*serviceQueue{},
		joined:  metrics.GetOrRegisterCounter("admission.joined", registry),
		turns:   metrics.GetOrRegisterCounter("admission.turns", registry),
		late:    metrics.GetOrRegisterCounter("admission.late", registry),
		full:    metrics.GetOrRegisterCounter("admission.full", registry),
		waiting: metrics.GetOrRegisterGauge("admission.waiting", registry),
		waited:  metrics.GetOrRegisterHistogram("admission.waited_ms", registry, metrics.NewExpDecaySample(waitedSamples, waitedAlpha)),
	}
}

// Precede reports whether requests wait that are served before a new one.
func (w *Waiters) Precede(service string, e *Entry) bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	return s != nil && s.queue.Ahead(e) > 0
}

// Wait blocks until a request has its turn, unless it isn't likely to start in time.
func (w *Waiters) Wait(ctx context.Context, service string, e *Entry, p Pace) Outcome {
	if w == nil {
		return Late
	}
	began := time.Now()
	wake, outcome := w.join(service, e, p, began)
	if wake == nil {
		return outcome
	}
	select {
	case outcome = <-wake:
	case <-ctx.Done():
		w.leave(service, e)
		outcome = Gone
	}
	w.waited.Update(time.Since(began).Milliseconds())
	return outcome
}

// join adds a request to the queue of a service. It returns nil and the outcome if the request doesn't wait.
func (w *Waiters) join(service string, e *Entry, p Pace, now time.Time) (<-chan Outcome, Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(service)
	if !p.MayStart(now, e, s.queue.Ahead(e)) {
		w.late.Inc(1)
		return nil, Late
	}
	s.interval = min(maxInterval, max(minInterval, p.Interval))
	wake := make(chan Outcome, 1)
	s.wake[e] = wake
	w.joined.Inc(1)
	for _, removed := range s.queue.Push(e, w.limits) {
		w.end(s, removed, Full)
		w.full.Inc(1)
	}
	w.schedule(service, s)
	w.updateGauge()
	return wake, Turn
}

// leave removes a request that waits no more.
func (w *Waiters) leave(service string, e *Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.services[service]; s != nil && s.queue.Remove(e) {
		delete(s.wake, e)
	}
	w.updateGauge()
}

// service returns the queue of a service. The caller must hold w.mu.
func (w *Waiters) service(name string) *serviceQueue {
	s := w.services[name]
	if s == nil {
		s = &serviceQueue{wake: map[*Entry]chan Outcome{}}
		w.services[name] = s
	}
	return s
}

// end wakes a request that was removed from the queue. The caller must hold w.mu.
func (w *Waiters) end(s *serviceQueue, e *Entry, o Outcome) {
	s.wake[e] <- o
	delete(s.wake, e)
}

// schedule sets the timer for the next turn of a service. The caller must hold w.mu.
func (w *Waiters) schedule(name string, s *serviceQueue) {
	if s.timer == nil {
		s.timer = time.AfterFunc(s.interval, func() { w.tick(name, time.Now()) })
	}
}

// tick gives the first request of a service its turn and ends those that can't start in time.
func (w *Waiters) tick(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.service(name)
	s.timer = nil
	for _, e := range s.queue.TakeLate(now) {
		w.end(s, e, Late)
		w.late.Inc(1)
	}
	if head := s.queue.Head(); head != nil {
		s.queue.Remove(head)
		w.end(s, head, Turn)
		w.turns.Inc(1)
	}
	if s.queue.Len() == 0 {
		delete(w.services, name)
	} else {
		w.schedule(name, s)
	}
	w.updateGauge()
}

// updateGauge sets the number of waiting requests. The caller must hold w.mu.
func (w *Waiters) updateGauge() {
	n := 0
	for _, s := range w.services {
		n += s.queue.Len()
	}
	w.waiting.Update(int64(n))
}

// Status is the state of a queue, for operators.
type Status struct {
	Service    string `json:"service"`
	Requests   int    `json:"requests"`
	Bytes      int64  `json:"bytes"`
	IntervalMs int64  `json:"interval_ms"`
	// UrgentFirst counts the requests by urgency, the most urgent first.
	UrgentFirst []int `json:"urgent_first"`
}

// Status returns the state of all queues that aren't empty.
func (w *Waiters) Status() []Status {
	out := []Status{}
	if w == nil {
		return out
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.services)) {
		s := w.services[name]
		status := Status{Service: name, Requests: s.queue.Len(), Bytes: s.queue.bytes, IntervalMs: s.interval.Milliseconds()}
		for _, e := range s.queue.entries {
			for len(status.UrgentFirst) <= e.Urgency {
				status.UrgentFirst = append(status.UrgentFirst, 0)
			}
			status.UrgentFirst[e.Urgency]++
		}
		out = append(out, status)
	}
	return out
}
