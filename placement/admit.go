package placement

import (
	"math/rand/v2"
	"time"
)

// Requests are refused before they are sent if the server is too far behind. A
// server that reads prompts without interruption delays every event of its
// streams: streams run longer, more of them run at the same time, and in the end
// none meets its objective. A request that would exceed its maximum wait gains
// little by being sent and delays the others.
//
// The least urgent requests have the shortest maximum wait, so they are refused
// first. Only the backlog ahead of a request counts: neither less urgent requests,
// which the server reads later, nor its own size, so that large requests are refused
// no more often than small ones.

const (
	// maxMemoryShare is the share of a server's memory that placed requests may
	// fill. Above it, the server preempts running requests and reads their
	// prompts again.
	maxMemoryShare = 0.95
	// maxWaitFactor is the longest wait of a request of urgency 1 for the
	// prompts ahead of it, as a multiple of its latency objective. The wait
	// decreases with the square of the urgency value.
	maxWaitFactor = 2.0
	// defaultPrefillRate is the prefill rate assumed before any was observed,
	// in tokens per millisecond.
	defaultPrefillRate = 30.0
	// prefillRateSmoothing is the weight of the newest sample in the moving
	// average.
	prefillRateSmoothing = 0.1
	// Samples with less than minSampleTokens or minSampleTime are ignored.
	minSampleTokens = 8000
	minSampleTime   = 100 * time.Millisecond
	// minPrefillRate and maxPrefillRate bound the samples, in tokens per
	// millisecond.
	minPrefillRate = 8.0
	maxPrefillRate = 200.0
	// minRetryAfter and maxRetryAfter bound the retry delay that is returned to
	// refused callers.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// RefusalReason is why a request is refused, for logs.
type RefusalReason string

// Reasons of refusals.
const (
	// SlotsUsed: the slots of the servers are in use.
	SlotsUsed RefusalReason = "slots"
	// serverBehind: the chosen server has too many prompts to read, or too little memory.
	serverBehind RefusalReason = "backlog or memory"
)

// Refusal describes why a request is not accepted now and when to retry it.
type Refusal struct {
	Reason RefusalReason
	// Wait is the expected wait at the chosen server; zero if none was chosen.
	Wait time.Duration
	// MaxWait is the longest acceptable wait of the request.
	MaxWait time.Duration
	// AcceptedShare is the share of the customer's requests that is accepted, if the slots of the servers are in use.
	AcceptedShare float64
	// RetryAfter is the delay after which the request is likely to be accepted.
	RetryAfter time.Duration
	// Seen is what was known of the servers, for logs.
	Seen ServersSeen
}

// ServersSeen is what was known of the servers when a request was refused.
type ServersSeen struct {
	// Chosen is the ID of the chosen server; empty if none was chosen.
	Chosen string
	// Running and AtLeastAsUrgent count the requests at the chosen server, or at all if none was chosen.
	Running, AtLeastAsUrgent int
	// MemoryTokens is the memory that the requests at the chosen server need, in tokens.
	MemoryTokens int
	// WouldAccept is the number of servers that would have accepted the request by their backlog and memory.
	WouldAccept int
}

// seenAll returns what is known of all servers.
func seenAll(candidates []Candidate, req *Request) ServersSeen {
	var seen ServersSeen
	for i := range candidates {
		c := &candidates[i]
		seen.Running += int(c.Running)
		seen.AtLeastAsUrgent += int(c.AtLeastAsUrgent)
		if !c.Suspended && c.accepts(req) {
			seen.WouldAccept++
		}
	}
	return seen
}

// seenChosen returns what is known of the chosen server.
func seenChosen(chosen *Candidate, candidates []Candidate, req *Request) ServersSeen {
	return ServersSeen{
		Chosen: chosen.Server.ID, Running: int(chosen.Running), AtLeastAsUrgent: int(chosen.AtLeastAsUrgent),
		MemoryTokens: int(chosen.MemoryUsed), WouldAccept: seenAll(candidates, req).WouldAccept,
	}
}

// MaxWait returns the longest time that a request waits for the prompts ahead
// of it, given its latency objective and its urgency, where 0 is the most
// urgent. It returns zero, which means no bound, for urgency 0: servers start
// these requests ahead of those that are waiting.
func MaxWait(target time.Duration, urgency int) time.Duration {
	if urgency <= 0 {
		return 0
	}
	return time.Duration(maxWaitFactor * float64(target) / float64(urgency*urgency))
}

// expectedWait returns how long the server needs to read the prompts ahead of the
// request.
func (c *Candidate) expectedWait() time.Duration {
	return time.Duration(c.Ahead / c.PrefillRate * float64(time.Millisecond))
}

// accepts reports whether the expected wait and the memory of the server allow
// the request to be sent to it.
func (c *Candidate) accepts(req *Request) bool {
	if req.MaxWait > 0 && c.expectedWait() > req.MaxWait {
		return false
	}
	return c.fitsMemory(req)
}

// fitsMemory reports whether the server has enough memory left for the request.
// A server without running requests accepts any.
func (c *Candidate) fitsMemory(req *Request) bool {
	return req.Memory == 0 || c.Running == 0 || c.MemoryUsed+memoryTokens(req) <= maxMemoryShare*float64(req.Memory)
}

// memoryTokens returns the most memory that a request may need, in tokens.
// Shared prompt parts are counted once per request; the overestimate also keeps
// a server from running more requests than it can serve at an acceptable speed.
func memoryTokens(req *Request) float64 { return float64(req.TokensIn + req.TokensOut) }

// admit returns a refusal if the chosen server cannot accept the request, and
// nil otherwise. It does not try other servers: they would have to read the
// parts that the chosen one has cached, which costs all requests more than this
// one gains. Requests without a maximum wait or without prompt parts are never
// refused, nor is a request for which only suspended servers are left.
func admit(chosen *Candidate, req *Request, rnd *rand.Rand) *Refusal {
	if req.MaxWait == 0 || len(req.Prompt) == 0 || chosen.Suspended || chosen.accepts(req) {
		return nil
	}
	return newRefusal(chosen, req, rnd)
}

// newRefusal computes the retry delay from the expected wait. The delay is
// randomized over the time in which the backlog is read, so that refused
// callers do not return at the same time.
func newRefusal(chosen *Candidate, req *Request, rnd *rand.Rand) *Refusal {
	wait := chosen.expectedWait()
	excess := max(0, wait-req.MaxWait/2)
	retry := time.Duration(float64(excess) * (0.5 + rnd.Float64()))
	return &Refusal{Reason: serverBehind, Wait: wait, MaxWait: req.MaxWait, RetryAfter: min(maxRetryAfter, max(minRetryAfter, retry))}
}

// rateEstimate is a moving average of the prefill rate.
type rateEstimate struct {
	tokensPerMs float64
}

// orDefault returns the estimate, or fallback if there are no samples.
func (p *rateEstimate) orDefault(fallback float64) float64 {
	if p.tokensPerMs == 0 {
		return fallback
	}
	return p.tokensPerMs
}

// observe adds a sample: the server read a number of tokens in the given time.
func (p *rateEstimate) observe(tokens int, took time.Duration) {
	if tokens < minSampleTokens || took < minSampleTime {
		return
	}
	seen := min(maxPrefillRate, max(minPrefillRate, float64(tokens)/float64(took.Milliseconds())))
	p.tokensPerMs = p.orDefault(seen) + prefillRateSmoothing*(seen-p.orDefault(seen))
}
