package placement

import (
	"math/rand/v2"
	"time"
)

// Why requests are refused before they are sent: a server that reads prompts
// without a pause makes every event of its streams late, so that they stay
// longer, and more of them share the pace until nobody is in time. Work that
// would wait beyond what it is worth makes the others late and gains nothing.
// The least urgent requests are refused first, as they wait for the shortest time.
// Only the work before a request counts and not its own size, so that large
// requests are refused no more often than small ones.

const (
	// memoryShare is the part of a server's memory that placed requests may
	// fill; beyond it running requests are preempted and read again.
	memoryShare = 0.95
	// baseMaxWait is how many times its objective a request of urgency 1 waits
	// for others' prompts to be read.
	baseMaxWait = 2.0
	// paceStart is the reading pace taken before any is seen, in tokens a
	// millisecond.
	paceStart = 30.0
	// paceSmoothing is the weight of the newest pace seen.
	paceSmoothing = 0.1
	// paceTokens is the least work from which a pace is learned, and paceTime
	// the least time.
	paceTokens = 8000
	paceTime   = 100 * time.Millisecond
	// slowestPace and fastestPace bound the pace learned, in tokens a
	// millisecond.
	slowestPace = 8.0
	fastestPace = 200.0
	// minRetry and maxRetry bound the pause that refused callers are told.
	minRetry = 300 * time.Millisecond
	maxRetry = 3 * time.Second
)

// Refusal tells why no server takes a request now.
type Refusal struct {
	// Wait is the wait at the best server.
	Wait time.Duration
	// MaxWait is the longest wait that the request is worth.
	MaxWait time.Duration
	// RetryAfter is when a server is likely to take it.
	RetryAfter time.Duration
}

// MaxWaitOf returns how long a request with an objective waits for the work
// before it, or zero for the most urgent ones: servers begin these before what
// waits there.
func MaxWaitOf(target time.Duration, urgency int) time.Duration {
	if urgency <= 0 {
		return 0
	}
	return time.Duration(baseMaxWait * float64(target) / float64(urgency*urgency))
}

// wait is how long a server reads before it begins a new request.
func (c *Candidate) wait() time.Duration {
	return time.Duration(c.Reading / c.Pace * float64(time.Millisecond))
}

// takes reports whether a server is worth sending the request to.
func (c *Candidate) takes(want *Want) bool {
	if want.MaxWait > 0 && c.wait() > want.MaxWait {
		return false
	}
	return c.fits(want)
}

// fits reports whether the server has the memory for the request.
func (c *Candidate) fits(want *Want) bool {
	return want.Memory == 0 || c.Running == 0 || c.Used+memoryNeed(want) <= memoryShare*float64(want.Memory)
}

// memoryNeed is the memory that a request may take. Parts of prompts that
// requests share are counted for each, which also keeps servers from running
// more requests than they can give a good pace.
func memoryNeed(want *Want) float64 { return float64(want.TokensIn + want.TokensOut) }

// admit returns a refusal if the server chosen for a request is too far behind.
// Another server would have to read again what this one holds, which costs all
// requests more than it gains this one.
func admit(chosen *Candidate, want *Want, rnd *rand.Rand) *Refusal {
	if want.MaxWait == 0 || len(want.Prompt) == 0 || chosen.Suspended || chosen.takes(want) {
		return nil
	}
	return refusal(chosen, want, rnd)
}

// refusal works out when to come back. Callers are spread over the time in
// which the backlog is read, so that they do not return together.
func refusal(chosen *Candidate, want *Want, rnd *rand.Rand) *Refusal {
	wait := chosen.wait()
	excess := max(0, wait-want.MaxWait/2)
	retry := time.Duration(float64(excess) * (0.5 + rnd.Float64()))
	return &Refusal{Wait: wait, MaxWait: want.MaxWait, RetryAfter: min(maxRetry, max(minRetry, retry))}
}

// pace learns how quickly prompts are read.
type pace struct {
	perMs float64
}

// get returns the pace, or a fallback if none was seen.
func (p *pace) get(fallback float64) float64 {
	if p.perMs == 0 {
		return fallback
	}
	return p.perMs
}

// observe takes in that a server took a time for a number of tokens.
func (p *pace) observe(tokens int, took time.Duration) {
	if tokens < paceTokens || took < paceTime {
		return
	}
	seen := min(fastestPace, max(slowestPace, float64(tokens)/float64(took.Milliseconds())))
	p.perMs = p.get(seen) + paceSmoothing*(seen-p.get(seen))
}
