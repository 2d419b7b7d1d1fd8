package policy

import "time"

// Why slots adapt: the number of requests a model engine can batch within the
// latency targets depends on the model, the prompts and the machine, and is not
// known in advance. Additive increase while the targets hold and the slots are
// in use, and multiplicative decrease when more requests come near their targets
// than the classes promise, finds it and follows it. A late first token counts
// before it misses, because the request may also have waited for its slot. Every request is held to
// the pool's strictest token gap, because all share the batch.

const (
	// firstTokenHeadroom and gapHeadroom are the parts of the targets that the
	// server itself may use.
	firstTokenHeadroom = 0.85
	gapHeadroom        = 0.92
	slotsDecrease      = 0.9
	slotsIncrease      = 1.0
	// minSlotWindow is the least number of finished requests judged together.
	minSlotWindow = 8
	// minSlotPeriod is the least time between two changes.
	minSlotPeriod = time.Second
)

// Target holds the latency targets that a finished request is judged by. Zero
// means no target.
type Target struct {
	FirstToken time.Duration
	TokenGap   time.Duration
	// Promise is the share of requests that meet the targets, 0 to 1.
	Promise float64
}

// Observation is what a finished request showed about its server.
type Observation struct {
	// FirstToken is the time from dispatch to the first token; zero if there
	// was none.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens; zero if unknown.
	TokenGap time.Duration
	Target   Target
	// Failed is set when the server broke the request or fell silent.
	Failed bool
	// Started is when the request was sent; zero if unknown.
	Started time.Time
}

// Strained reports whether the server failed the request, used more than its
// part of the target for the first token, or of the one for the token gap.
func (o Observation) Strained() bool {
	return o.Failed ||
		exceeds(o.FirstToken, o.Target.FirstToken, firstTokenHeadroom) ||
		exceeds(o.TokenGap, o.Target.TokenGap, gapHeadroom)
}

func exceeds(d, target time.Duration, part float64) bool {
	return target > 0 && float64(d) > part*float64(target)
}

// Slots is the adaptive number of concurrent requests of one server.
type Slots struct {
	limit     float64
	max       int
	finished  int
	strained  float64
	allowed   float64
	saturated bool
	changed   time.Time
}

// NewSlots starts at the initial number. A maximum at or below it fixes the
// number.
func NewSlots(initial, maximum int) Slots {
	initial = max(1, initial)
	return Slots{limit: float64(initial), max: max(initial, maximum)}
}

// Limit returns the present number of slots, at least one.
func (s *Slots) Limit() int { return max(1, int(s.limit)) }

// Bound applies a new maximum.
func (s *Slots) Bound(maximum int) {
	s.max = max(1, maximum)
	s.limit = min(s.limit, float64(s.max))
}

// Used records the number of slots in use after a grant.
func (s *Slots) Used(n int) {
	if n >= s.Limit() {
		s.saturated = true
	}
}

// Observe judges a finished request and may change the number of slots.
func (s *Slots) Observe(now time.Time, o Observation) {
	s.finished++
	if o.Strained() {
		s.strained++
	}
	s.allowed += 1 - o.Target.Promise
	if s.finished < max(minSlotWindow, s.Limit()) || now.Sub(s.changed) < minSlotPeriod {
		return
	}
	// One request alone is within any promise below one.
	if s.strained > max(1, s.allowed) {
		s.limit = max(1, s.limit*slotsDecrease)
	} else if s.saturated && s.strained <= s.allowed {
		s.limit = min(float64(s.max), s.limit+slotsIncrease)
	}
	s.finished, s.strained, s.allowed, s.saturated = 0, 0, 0, false
	s.changed = now
}
