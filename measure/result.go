package measure

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// runID identifies a run.
type runID struct {
	workload string
	scenario string
	policy   string
	seed     uint64
}

// result holds the metrics of a run.
type result struct {
	runID
	classes []classResult
	// goodput is the tokens of the responses completed between warmUp and
	// endTime, as a fraction of what the pool generates with full batches. Late
	// responses count only for classes that are served late.
	goodput float64
	// wasted is the fraction of all generated tokens that no caller could use.
	wasted float64
	// idle is the fraction of slots that healthy servers left idle while
	// requests waited.
	idle float64
	// others is the attainment of the highest class, from the start of a burst
	// to afterBurst after its end, without the requests of the bursting customer.
	others float64
	// messages is the mean number of messages between daemons per request.
	messages float64
}

// classResult holds the metrics of one class.
type classResult struct {
	name        string
	requests    int
	attainment  float64
	refused     float64
	firstTokens []time.Duration
	// longestWait is the longest time from arrival to dispatch; longestEnd also
	// includes the time to the end of requests that were never dispatched.
	longestWait time.Duration
	longestEnd  time.Duration
	// longestPause is the longest time between warmUp and endTime in which no
	// request of the class was dispatched for the first time.
	longestPause time.Duration
}

func (r *result) class(name string) *classResult {
	i := slices.IndexFunc(r.classes, func(c classResult) bool { return c.name == name })
	return &r.classes[i]
}

// summarize computes the metrics of a finished run.
func summarize(sim *simulation, policy string) result {
	r := result{runID: runID{sim.workload.name, sim.scenario.name, policy, sim.seed}}
	for i := range sim.workload.classes {
		r.classes = append(r.classes, summarizeClass(sim.requests, sim.workload.classes[i].class.Name))
	}
	wasted, good := 0, 0
	for _, q := range sim.requests {
		wasted += q.wasted
		if q.outcome != completed || q.ended < warmUp || q.ended >= endTime {
			continue
		}
		if q.attained() || q.queueDeadline() != q.firstTokenDeadline() {
			good += q.length
		}
	}
	generated := 0
	for _, e := range sim.engines {
		generated += e.generated
	}
	r.goodput = float64(good) / (poolRate() * (endTime - warmUp).Seconds())
	r.wasted = ratio(float64(wasted), float64(generated))
	r.idle = ratio(sim.idleSamples, sim.slotSamples)
	r.others = othersAttainment(sim)
	return r
}

func summarizeClass(all []*request, name string) classResult {
	c := classResult{name: name}
	met, refusals := 0, 0
	for _, q := range all {
		if q.class.Name != name || q.arrived < warmUp || q.outcome == abandoned {
			continue
		}
		c.requests++
		if q.attained() {
			met++
		}
		if q.outcome == refused {
			refusals++
		}
		if q.started > 0 {
			c.longestWait = max(c.longestWait, q.waited())
		}
		c.longestEnd = max(c.longestEnd, q.waited())
		if q.first > 0 {
			c.firstTokens = append(c.firstTokens, q.first-q.arrived)
		}
	}
	c.longestPause = longestPause(all, name)
	slices.Sort(c.firstTokens)
	c.attainment = ratio(float64(met), float64(c.requests))
	c.refused = ratio(float64(refusals), float64(c.requests))
	return c
}

// longestPause returns the value of classResult.longestPause for a class.
func longestPause(all []*request, name string) time.Duration {
	starts := []time.Duration{warmUp, endTime}
	for _, q := range all {
		if q.class.Name == name && q.started > warmUp && q.started < endTime {
			starts = append(starts, q.started)
		}
	}
	slices.Sort(starts)
	var longest time.Duration
	for i, at := range starts[1:] {
		longest = max(longest, at-starts[i])
	}
	return longest
}

// othersAttainment returns the value of result.others.
func othersAttainment(sim *simulation) float64 {
	met, n := 0.0, 0.0
	for _, q := range sim.requests {
		if q.class.Name != sim.workload.highest() || q.customer == customerName(burstingCustomer) || q.outcome == abandoned ||
			q.arrived < burstStart || q.arrived >= burstEnd+afterBurst {
			continue
		}
		n++
		if q.attained() {
			met++
		}
	}
	return ratio(met, n)
}

// ratio returns a/b, or zero if b is zero.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// quantile returns the q-quantile of sorted durations, or zero without any.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// summaryLine formats the metrics as one line of text.
func (r *result) summaryLine() string {
	var b strings.Builder
	fmt.Fprintf(&b, "measure: workload=%s scenario=%s policy=%s seed=%d", r.workload, r.scenario, r.policy, r.seed)
	for _, c := range r.classes {
		fmt.Fprintf(&b, " attainment.%s=%.3f", c.name, c.attainment)
	}
	fmt.Fprintf(&b, " goodput=%.3f wasted=%.3f idle_while_waiting=%.3f", r.goodput, r.wasted, r.idle)
	for _, c := range r.classes {
		fmt.Fprintf(&b, " p95_ttft_ms.%s=%d", c.name, quantile(c.firstTokens, 0.95).Milliseconds())
	}
	last := r.classes[len(r.classes)-1]
	fmt.Fprintf(&b, " longest_wait_ms.%s=%d longest_pause_ms.%s=%d others=%.3f",
		last.name, last.longestWait.Milliseconds(), last.name, last.longestPause.Milliseconds(), r.others)
	return b.String()
}
