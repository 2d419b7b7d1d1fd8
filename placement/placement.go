// Package placement chooses the backend server for a request.
//
// Why: reading a prompt is most of the work of a long request, and much of a
// prompt is shared with others. A server that holds the shared parts answers
// sooner and keeps the others free, unless too many requests follow the same
// part. So servers are compared by the tokens that they would still have to
// read before the request begins: those of the requests placed there before and
// those of this prompt that the server does not hold.
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/backend"
)

// Part is a part of a prompt.
type Part struct {
	// Hash identifies the part.
	Hash   uint64
	Tokens int
}

// NewPart returns a part with an ID.
func NewPart(id string, tokens int) Part {
	return Part{Hash: xxhash.Sum64String(id), Tokens: tokens}
}

// Want describes a request to be placed.
type Want struct {
	// Prompt lists the parts in order. The last one belongs to the request.
	Prompt []Part
	// TokensIn is the number of prompt tokens, TokensOut the most generated.
	TokensIn, TokensOut int
	// Gap is the longest pause between events with which the request is in time;
	// zero means that there is no bound.
	Gap time.Duration
	// Tight is set if events must come in quicker succession than those of other
	// requests of the service.
	Tight bool
	// Memory is the number of tokens that a server of the service holds; zero
	// means that it is not known.
	Memory int
	// MaxWait is how long the request waits for the work before it; zero means
	// that it takes any server.
	MaxWait time.Duration
	// Domain is the failure domain of the local daemon.
	Domain string
}

// Candidate is a server with what is known of its load.
type Candidate struct {
	Server *backend.Server
	// Running is the number of requests that all daemons have there.
	Running float64
	// Tight counts those of them whose events must come in quick succession.
	Tight float64
	// Reading is the number of prompt tokens of requests without a first event.
	Reading float64
	// Used is the number of tokens of memory that all requests there need.
	Used float64
	// Pace is how many tokens the server reads in a millisecond.
	Pace float64
	// Held is the number of tokens of the prompt that the server has read before.
	Held int
	// Slowness is the server's pace relative to its service, 1 for usual.
	Slowness float64
	// ErrorShare is the recent share of failed requests.
	ErrorShare float64
	// Pause is the longest pause between events seen lately.
	Pause time.Duration
	// Reserved servers are kept for requests whose events must come in quick
	// succession.
	Reserved bool
	// Suspended servers have just failed and are taken only if no other is left.
	Suspended bool
}

const (
	// runningTokens is what a running request delays the start of another, in
	// tokens to read.
	runningTokens = 200.0
	// missWeight is what a token to read costs beside one that waits before it:
	// reading a part again takes time from all requests of the service. The more
	// work waits at all servers, the more time it takes: missBacklog is the
	// backlog of a server that adds one, up to missWeightMost.
	missWeight     = 6.0
	missBacklog    = 4000.0
	missWeightMost = 30.0
	// unreservedTokens is the cost of a server that is not reserved for requests that
	// need one.
	unreservedTokens = 4000.0
	// disturbWeight is what a token to read costs a reserved server besides.
	disturbWeight = 4.0
	// homeDiscount makes daemons that do not know yet who holds a part agree on
	// where to send it.
	homeDiscount = 0.7
	// tightShare is what a token to read costs each running request whose events
	// must come in quick succession.
	tightShare = 0.03
	// otherDomainTokens is the cost of bytes between failure domains.
	otherDomainTokens = 150.0
	// errorTokens is the cost of a request that fails for sure.
	errorTokens = 60000.0
	// coldTokens is the cost of a server that has just started.
	coldTokens = 2000.0
	// plainRunning is the cost of a running request of a service without
	// prompts, in the unit of otherDomainTokens.
	plainRunning = 400.0
	// jitterTokens spreads requests over servers that cost the same.
	jitterTokens = 100.0
)

// Choose returns the index of the best candidate, or -1 if there is none.
func Choose(now time.Time, candidates []Candidate, want Want, rnd *rand.Rand) int {
	best, bestCost := -1, 0.0
	home := homeOf(candidates, want)
	pool := poolOf(candidates)
	for i := range candidates {
		cost := costOf(now, &candidates[i], want, i == home, pool) + jitterTokens*rnd.Float64()
		if best < 0 || better(&candidates[i], cost, &candidates[best], bestCost) {
			best, bestCost = i, cost
		}
	}
	return best
}

// better compares two candidates; suspended ones come last.
func better(a *Candidate, aCost float64, b *Candidate, bCost float64) bool {
	if a.Suspended != b.Suspended {
		return b.Suspended
	}
	return aCost < bCost
}

// costOf returns how much a server would have to read before it starts the
// request, and its other drawbacks, in tokens.
func costOf(now time.Time, c *Candidate, want Want, home bool, pool pool) float64 {
	cost := 0.0
	if len(want.Prompt) == 0 {
		cost = plainRunning * c.Running
	} else {
		miss := float64(max(0, want.TokensIn-c.Held))
		if home {
			miss *= homeDiscount
		}
		cost = c.Reading + pool.missWeight*miss + runningTokens*c.Running + tightShare*c.Tight*miss
		if c.Reserved != want.Tight {
			cost += misplacedTokens(want, miss)
		}
		cost += c.pauseCost(&want)
	}
	cost *= max(1, c.Slowness)
	if c.Server.Domain != want.Domain {
		cost += otherDomainTokens
	}
	if now.Before(c.Server.ColdUntil) {
		cost += coldTokens
	}
	return cost + errorTokens*max(0, c.ErrorShare-pool.errorShare)
}

// misplacedTokens is the cost of a request that needs a reserved server elsewhere,
// or of another request at a reserved server.
func misplacedTokens(want Want, miss float64) float64 {
	if want.Tight {
		return unreservedTokens
	}
	return disturbWeight * miss
}

// pool is what the candidates have in common.
type pool struct {
	// errorShare is the lowest share of failures: what all servers fail alike is
	// no reason to avoid one.
	errorShare float64
	// missWeight is what a token to read costs at the present backlog.
	missWeight float64
}

func poolOf(candidates []Candidate) pool {
	p := pool{errorShare: 1}
	reading, n := 0.0, 0.0
	for _, c := range candidates {
		p.errorShare = min(p.errorShare, c.ErrorShare)
		if !c.Suspended {
			reading += c.Reading
			n++
		}
	}
	p.missWeight = min(missWeightMost, missWeight+reading/max(1, n)/missBacklog)
	return p
}

// homeOf returns the server where requests that share the prompt's parts are
// sent by all daemons, by rendezvous hashing, or -1.
func homeOf(candidates []Candidate, want Want) int {
	if len(want.Prompt) < 2 {
		return -1
	}
	key := want.Prompt[len(want.Prompt)-2].Hash
	best, bestScore := -1, uint64(0)
	for i, c := range candidates {
		if c.Suspended || c.Reserved && !want.Tight {
			continue
		}
		score := mix(key ^ xxhash.Sum64String(c.Server.ID))
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
