package policy

import (
	"slices"
	"time"
)

// Stragglers are detected by comparing the servers of a pool. Load reports lag, and
// an absolute bound on the token gap doesn't fit every model and load, but
// interchangeable servers behind one queue should be about equally fast. A server
// much slower than the median is isolated: it gets only single probe requests. Its
// slots are restored one by one, because a server that gets all slots back while
// it is still slow delays a whole batch of requests.

const (
	// stragglerRatio is the ratio of a server's token gap to the reference above
	// which the server is isolated.
	stragglerRatio = 3.0
	// recoveredRatio is the maximum ratio of the token gap of a successful probe to
	// the reference.
	recoveredRatio = 1.5
	// minSpeedSamples is the number of samples below which the token gap of a server
	// isn't evaluated.
	minSpeedSamples = 3
	// speedSmoothing is the weight of a new sample in the moving average.
	speedSmoothing = 0.3
	// maxConsecutiveFailures is the number of consecutive failed requests after
	// which a server is isolated.
	maxConsecutiveFailures = 2
	// minProbeInterval and maxProbeInterval bound the time between two probes.
	minProbeInterval = time.Second
	maxProbeInterval = 30 * time.Second
	// overdueRatio is the ratio of a request's running time to the expected time
	// above which the request is overdue.
	overdueRatio = 4.0
	// minOverdueRequests is the minimum number of overdue requests for which a
	// server is isolated. They must also be at least half of its running requests.
	minOverdueRequests = 3
	// minGoodProbes is the number of consecutive successful probes after which a
	// server returns and its slots are restored one by one.
	minGoodProbes = 1
	// minMedianServers is the minimum number of servers for which the median is used
	// as the reference.
	minMedianServers = 3
)

// HealthState is the state of a server in straggler detection.
type HealthState uint8

// Health states of a server.
const (
	// Healthy means that all slots of the server may be used.
	Healthy HealthState = iota
	// Probing means that the server is isolated and gets single requests at
	// intervals.
	Probing
	// Returning means that the slots of the server are being restored, one for each
	// successful request.
	Returning
)

// Health tracks the speed and the failures of one server.
type Health struct {
	state         HealthState
	gap           float64 // moving average of the token gap, in seconds
	gapSamples    int
	failures      int // consecutive failed requests
	goodProbes    int // successful requests since the last isolation
	restoredSlots int // slots that may be used while returning
	probeInterval time.Duration
	nextProbe     time.Time
	isolatedAt    time.Time
}

// State returns the current state.
func (h *Health) State() HealthState { return h.state }

// TokenGap returns the moving average of the token gap and whether there are enough
// samples to use it.
func (h *Health) TokenGap() (time.Duration, bool) {
	return time.Duration(h.gap * float64(time.Second)), h.gapSamples >= minSpeedSamples
}

// LimitSlots returns how many of the given slots the health of the server allows.
func (h *Health) LimitSlots(now time.Time, slots int) int {
	switch h.state {
	case Probing:
		if now.Before(h.nextProbe) {
			return 0
		}
		return 1
	case Returning:
		return min(slots, h.restoredSlots)
	}
	return slots
}

// Observe records a finished request. The reference is the token gap expected of a
// healthy server, or zero if unknown.
func (h *Health) Observe(now time.Time, o Observation, reference time.Duration) {
	if o.Failed {
		// A request sent before the isolation isn't a probe. Its failure says nothing
		// about recovery and must not prolong the isolation.
		if o.Started.IsZero() || !o.Started.Before(h.isolatedAt) {
			h.recordFailure(now)
		}
		return
	}
	h.failures = 0
	if o.TokenGap <= 0 {
		h.recordProbeResult(now, true)
		return
	}
	h.addSample(o.TokenGap)
	if reference <= 0 {
		h.recordProbeResult(now, true)
		return
	}
	ref := reference.Seconds()
	if h.state == Healthy {
		if h.gapSamples >= minSpeedSamples && h.gap > stragglerRatio*ref {
			h.isolate(now)
		}
		return
	}
	h.recordProbeResult(now, o.TokenGap.Seconds() <= recoveredRatio*ref)
}

func (h *Health) addSample(gap time.Duration) {
	h.gapSamples++
	if h.gapSamples == 1 {
		h.gap = gap.Seconds()
		return
	}
	h.gap += speedSmoothing * (gap.Seconds() - h.gap)
}

func (h *Health) recordFailure(now time.Time) {
	h.failures++
	if h.state != Healthy || h.failures >= maxConsecutiveFailures {
		h.isolate(now)
	}
}

// Suspect isolates a healthy server because its running requests are overdue.
func (h *Health) Suspect(now time.Time) {
	if h.state == Healthy {
		h.isolate(now)
	}
}

// isolate limits the server to probes and doubles the interval between them.
func (h *Health) isolate(now time.Time) {
	h.state = Probing
	h.goodProbes = 0
	h.probeInterval = min(max(2*h.probeInterval, minProbeInterval), maxProbeInterval)
	h.nextProbe = now.Add(h.probeInterval)
	h.isolatedAt = now
}

// recordProbeResult updates a probing or returning server after a finished request.
func (h *Health) recordProbeResult(now time.Time, good bool) {
	switch {
	case h.state == Healthy:
	case !good:
		h.isolate(now)
	case h.state == Probing:
		h.goodProbes++
		if h.goodProbes >= minGoodProbes {
			h.state = Returning
			h.restoredSlots = 1
			h.gapSamples = 0
		}
	default:
		h.restoredSlots++
		h.goodProbes++
	}
}

// CompleteReturn makes a returning server healthy once all its slots are restored.
func (h *Health) CompleteReturn(slots int) {
	if h.state == Returning && h.restoredSlots >= slots {
		h.state = Healthy
		h.probeInterval = 0
	}
}

// RecordProbe records that a request was sent to the server. It delays the next
// probe of an isolated server.
func (h *Health) RecordProbe(now time.Time) {
	if h.state == Probing {
		h.nextProbe = now.Add(h.probeInterval)
	}
}

// MedianTokenGap returns the median of the token gaps of the servers, or the fallback
// if there are too few of them. It sorts gaps in place.
func MedianTokenGap(gaps []time.Duration, fallback time.Duration) time.Duration {
	if len(gaps) < minMedianServers {
		return fallback
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}
