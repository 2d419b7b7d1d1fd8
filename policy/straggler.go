package policy

import (
	"slices"
	"time"
)

// Why stragglers are found by comparison: load reports lag and an absolute
// bound is wrong for another model or load, but interchangeable servers under
// one queue should be about equally fast. A server far slower than the median
// loses all slots but a probe, and comes back step by step, because a server
// that returns at full width and is still slow harms a whole batch.

const (
	// stragglerRatio is how much slower than the reference a straggler is.
	stragglerRatio = 3.0
	// recoveredRatio is how close to the reference a probe must come.
	recoveredRatio = 1.5
	// minSpeedSamples is the number of requests before a server is judged.
	minSpeedSamples = 3
	// speedSmoothing is the weight of a new sample in the moving average.
	speedSmoothing = 0.3
	// maxFailuresInRow is the number of failed requests in a row that isolate a
	// server.
	maxFailuresInRow = 2
	// minProbeInterval and maxProbeInterval bound the pause between probes.
	minProbeInterval = time.Second
	maxProbeInterval = 30 * time.Second
	// overdueRatio is how much longer than expected an overdue request runs.
	overdueRatio = 4.0
	// minOverdue is the number of overdue requests that isolate a server, if
	// they are half of those that run.
	minOverdue = 3
	// goodProbes is the number of good probes in a row before a return.
	goodProbes = 1
	// minMedianServers is the least number of servers whose median is trusted.
	minMedianServers = 3
)

// HealthState is what is believed of a server's speed.
type HealthState uint8

// States of a server's health.
const (
	Healthy HealthState = iota
	// Probing means the server gets one request at a time, with pauses.
	Probing
	// Returning means the server's slots grow back with each good request.
	Returning
)

// Health follows the speed of one server.
type Health struct {
	state    HealthState
	gap      float64 // moving average of the token gap, in seconds
	samples  int
	failures int
	good     int
	width    int
	interval time.Duration
	next     time.Time
	isolated time.Time
}

// State returns the present state.
func (h *Health) State() HealthState { return h.state }

// Gap returns the moving average of the token gap and whether enough requests
// were seen to judge by it.
func (h *Health) Gap() (time.Duration, bool) {
	return time.Duration(h.gap * float64(time.Second)), h.samples >= minSpeedSamples
}

// Cap bounds the slots of a server by its health.
func (h *Health) Cap(now time.Time, slots int) int {
	switch h.state {
	case Probing:
		if now.Before(h.next) {
			return 0
		}
		return 1
	case Returning:
		return min(slots, h.width)
	}
	return slots
}

// Observe records a finished request. The reference is the token gap expected
// of a sound server; zero means unknown.
func (h *Health) Observe(now time.Time, o Observation, reference time.Duration) {
	if o.Failed {
		// What was sent before the isolation is no probe.
		if o.Started.IsZero() || !o.Started.Before(h.isolated) {
			h.fail(now)
		}
		return
	}
	h.failures = 0
	if o.TokenGap <= 0 {
		h.step(now, true)
		return
	}
	h.sample(o.TokenGap)
	if reference <= 0 {
		h.step(now, true)
		return
	}
	ref := reference.Seconds()
	if h.state == Healthy {
		if h.samples >= minSpeedSamples && h.gap > stragglerRatio*ref {
			h.isolate(now)
		}
		return
	}
	h.step(now, o.TokenGap.Seconds() <= recoveredRatio*ref)
}

func (h *Health) sample(gap time.Duration) {
	h.samples++
	if h.samples == 1 {
		h.gap = gap.Seconds()
		return
	}
	h.gap += speedSmoothing * (gap.Seconds() - h.gap)
}

func (h *Health) fail(now time.Time) {
	h.failures++
	if h.state != Healthy || h.failures >= maxFailuresInRow {
		h.isolate(now)
	}
}

// Suspect isolates a healthy server because what runs on it is overdue.
func (h *Health) Suspect(now time.Time) {
	if h.state == Healthy {
		h.isolate(now)
	}
}

// isolate reduces the server to probes and doubles the pause between them.
func (h *Health) isolate(now time.Time) {
	h.state = Probing
	h.good = 0
	h.interval = min(max(2*h.interval, minProbeInterval), maxProbeInterval)
	h.next = now.Add(h.interval)
	h.isolated = now
}

// step moves a probed or returning server on after a finished request.
func (h *Health) step(now time.Time, good bool) {
	switch {
	case h.state == Healthy:
	case !good:
		h.isolate(now)
	case h.state == Probing:
		h.good++
		if h.good >= goodProbes {
			h.state = Returning
			h.width = 1
			h.samples = 0
		}
	default:
		h.width++
		h.good++
	}
}

// Settle makes a returning server healthy once its width reaches its slots.
func (h *Health) Settle(slots int) {
	if h.state == Returning && h.width >= slots {
		h.state = Healthy
		h.interval = 0
	}
}

// Probe records that a request was sent to a server.
func (h *Health) Probe(now time.Time) {
	if h.state == Probing {
		h.next = now.Add(h.interval)
	}
}

// Reference returns the token gap expected of a sound server: the median of
// the servers, or the fallback if too few were judged. It sorts gaps in place.
func Reference(gaps []time.Duration, fallback time.Duration) time.Duration {
	if len(gaps) < minMedianServers {
		return fallback
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}
