package policy

import "time"

// The number of requests that an inference engine can batch within the latency
// targets depends on the model, the prompts and the machine, and isn't known in
// advance. It is found and tracked by additive increase, multiplicative decrease
// (AIMD): the limit grows while the targets are met and all slots are in use,
// and shrinks when more requests come close to their targets than the promises
// of their classes allow. The server may use only a part of the first-token
// target, because the request may also have waited for its slot. Every request
// is measured against the strictest token gap of the pool, because all requests
// share the batch.

const (
	// firstTokenHeadroom and gapHeadroom are the shares of the targets that the
	// server itself may use before it counts as overloaded.
	firstTokenHeadroom = 0.85
	gapHeadroom        = 0.92
	// slotsDecrease is the factor applied to the limit on overload.
	slotsDecrease = 0.9
	// slotsIncrease is the number of slots added while the targets are met.
	slotsIncrease = 1.0
	// minSlotWindow is the minimum number of finished requests evaluated
	// together.
	minSlotWindow = 8
	// minSlotPeriod is the minimum time between two evaluations.
	minSlotPeriod = time.Second
)

// Target holds the latency targets of a class. A zero duration means no target.
type Target struct {
	FirstToken time.Duration
	TokenGap   time.Duration
	// Promise is the share of requests that meet the targets, 0 to 1.
	Promise float64
}

// Observation holds the latencies and the result of a finished request.
type Observation struct {
	// FirstToken is the time from dispatch to the first token, or zero if no
	// token arrived.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens, or zero if unknown.
	TokenGap time.Duration
	Target   Target
	// Failed is set if the server failed the request or stopped sending.
	Failed bool
	// Started is when the request was sent, or zero if unknown.
	Started time.Time
}

// Overloaded reports whether the server failed the request, or exceeded its
// share of the target for the first token or for the token gap.
func (o Observation) Overloaded() bool {
	return o.Failed ||
		exceeds(o.FirstToken, o.Target.FirstToken, firstTokenHeadroom) ||
		exceeds(o.TokenGap, o.Target.TokenGap, gapHeadroom)
}

func exceeds(d, target time.Duration, part float64) bool {
	return target > 0 && float64(d) > part*float64(target)
}

// Slots is the adaptive concurrency limit of one server.
type Slots struct {
	limit float64
	max   int
	// finished counts the requests of the current window, and overloaded those
	// for which the server was overloaded.
	finished   int
	overloaded float64
	// errorBudget is the number of requests of the window that may miss their
	// targets under the promises of their classes.
	errorBudget float64
	// saturated is set if all slots were in use at some time in the window.
	saturated bool
	// windowStart is when the limit was last evaluated.
	windowStart time.Time
}

// NewSlots returns a limit that starts at the initial value. It never grows beyond
// the maximum, or beyond the initial value if the maximum is lower.
func NewSlots(initial, maximum int) Slots {
	initial = max(1, initial)
	return Slots{limit: float64(initial), max: max(initial, maximum)}
}

// Limit returns the current number of slots, which is at least one.
func (s *Slots) Limit() int { return max(1, int(s.limit)) }

// SetMax sets a new maximum and lowers the limit to it if necessary.
func (s *Slots) SetMax(maximum int) {
	s.max = max(1, maximum)
	s.limit = min(s.limit, float64(s.max))
}

// RecordUsed records the number of slots in use after a grant.
func (s *Slots) RecordUsed(n int) {
	if n >= s.Limit() {
		s.saturated = true
	}
}

// Observe counts a finished request. At the end of a window it adjusts the
// limit.
func (s *Slots) Observe(now time.Time, o Observation) {
	s.finished++
	if o.Overloaded() {
		s.overloaded++
	}
	s.errorBudget += 1 - o.Target.Promise
	if s.finished < max(minSlotWindow, s.Limit()) || now.Sub(s.windowStart) < minSlotPeriod {
		return
	}
	// A single overloaded request never lowers the limit, because any promise
	// below 1 allows it.
	if s.overloaded > max(1, s.errorBudget) {
		s.limit = max(1, s.limit*slotsDecrease)
	} else if s.saturated && s.overloaded <= s.errorBudget {
		s.limit = min(float64(s.max), s.limit+slotsIncrease)
	}
	s.finished, s.overloaded, s.errorBudget, s.saturated = 0, 0, 0, false
	s.windowStart = now
}
