package measure

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// run identifies one measurement.
type run struct {
	workload string
	scenario string
	policy   string
	seed     uint64
}

// result holds the figures of a run.
type result struct {
	run
	classes []classResult
	// goodput is the tokens of whole answers completed between warmUp and
	// endTime, late ones only where the class wants them, as a share of what
	// the pool generates in full batches.
	goodput float64
	// wasted is the tokens that no caller could use, as a share of all tokens
	// generated.
	wasted float64
	// idle is the share of slots that sound servers left idle while requests
	// waited.
	idle float64
	// others is the attainment of the highest class around the time of a burst
	// for all customers but the bursting one.
	others float64
	// messages is the number of messages between daemons for each request.
	messages float64
}

// classResult holds the figures of one class.
type classResult struct {
	name        string
	requests    int
	attainment  float64
	refused     float64
	firstTokens []time.Duration
	// longestWait is the longest time in the queue of a request that was
	// started; longestEnd also counts refused ones.
	longestWait time.Duration
	longestEnd  time.Duration
	// longestPause is the longest time between two starts of requests of the
	// class, from warmUp to endTime.
	longestPause time.Duration
}

func (r *result) class(name string) *classResult {
	i := slices.IndexFunc(r.classes, func(c classResult) bool { return c.name == name })
	return &r.classes[i]
}

// summarize works out the figures of a finished run.
func summarize(wd *world, policy string) result {
	r := result{run: run{wd.workload.name, wd.scenario.name, policy, wd.seed}}
	for i := range wd.workload.classes {
		r.classes = append(r.classes, summarizeClass(wd.requests, wd.workload.classes[i].class.Name))
	}
	wasted, good := 0, 0
	for _, q := range wd.requests {
		wasted += q.wasted
		if q.outcome != whole || q.ended < warmUp || q.ended >= endTime {
			continue
		}
		if q.attained() || q.giveUp() != q.target() {
			good += q.length
		}
	}
	generated := 0
	for _, e := range wd.engines {
		generated += e.generated
	}
	r.goodput = float64(good) / (poolRate() * (endTime - warmUp).Seconds())
	r.wasted = ratio(float64(wasted), float64(generated))
	r.idle = ratio(wd.idleSamples, wd.slotSamples)
	r.others = othersAttainment(wd)
	return r
}

func summarizeClass(all []*request, name string) classResult {
	c := classResult{name: name}
	met, refusals := 0, 0
	for _, q := range all {
		if q.class.Name != name || q.arrived < warmUp || q.outcome == left {
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

func othersAttainment(wd *world) float64 {
	met, n := 0.0, 0.0
	for _, q := range wd.requests {
		if q.class.Name != wd.workload.highest() || q.customer == customerName(burstingCustomer) || q.outcome == left ||
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

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// quantile of sorted durations; zero if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// line is the figures as one line of text.
func (r *result) line() string {
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
