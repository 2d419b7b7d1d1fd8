// Package placement chooses the backend server for a request.
//
// Reading the prompt (prefill) is most of the work of a long request, and
// prompts often share parts with other prompts. A server that has the shared
// parts cached responds sooner and leaves the other servers free, unless too
// many requests are sent to it for the same part. Candidates are therefore
// compared by the number of tokens that they would have to read before the
// request starts: the unread prompts of earlier requests plus the tokens of
// this prompt that the server does not have cached.
package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/fairshare"
)

// Part is a part of a prompt that other prompts may contain as well. A server
// that has it cached need not read it again.
type Part struct {
	// Hash identifies the part. It is computed from the part's ID.
	Hash   uint64
	Tokens int
}

// NewPart returns the part with the given ID and length in tokens.
func NewPart(id string, tokens int) Part {
	return Part{Hash: xxhash.Sum64String(id), Tokens: tokens}
}

// Request describes a request to be placed.
type Request struct {
	// Prompt lists the parts in order. The last part is specific to the
	// request.
	Prompt []Part
	// TokensIn is the number of prompt tokens, TokensOut the largest number of
	// generated tokens.
	TokensIn, TokensOut int
	// Gap is the largest gap between two events that meets the latency
	// objective; zero means that there is no bound.
	Gap time.Duration
	// Tight is set if the request has the tightest gap objective of its
	// service. Tight requests are preferably placed on reserved servers.
	Tight bool
	// Memory is the memory of each server of the service, in tokens; zero means
	// that it is unknown.
	Memory int
	// Target is the latency objective up to the first event.
	Target time.Duration
	// MaxWait is the longest time that the request waits for the prompts ahead
	// of it to be read; zero means no bound.
	MaxWait time.Duration
	// Urgency is the rank of the request at the server, from 0, the most urgent, to
	// route.MaxUrgency.
	Urgency int
	// Domain is the failure domain of the local daemon.
	Domain string
	// Service is the service of the servers and Customer who sent the request; empty if it isn't known.
	Service, Customer string
}

// class returns the class in which the request shares capacity.
func (r *Request) class() fairshare.Class {
	return fairshare.Class{Service: r.Service, Urgency: int32(r.Urgency)}
}

// work returns the work of the request in tokens to read. It is known before a server is chosen, so cached
// parts count as well.
func (r *Request) work() float64 { return float64(r.TokensIn) + outputWeight*float64(r.TokensOut) }

// Candidate is a server and its estimated load.
type Candidate struct {
	Server *backend.Server
	// hash is the hash of the server's ID.
	hash uint64
	// Running is the number of requests that all daemons have at the server.
	Running float64
	// Slots is the number of requests that the server runs at a time; zero if it isn't known.
	Slots int
	// AtLeastAsUrgent is the part of Running that is at least as urgent as the request to be
	// placed.
	AtLeastAsUrgent float64
	// Tight is the number of running requests with a tight gap objective.
	Tight float64
	// Backlog is the number of prompt tokens of requests that have not produced
	// their first event.
	Backlog float64
	// Ahead is the part of Backlog that the server reads before the prompt of the
	// request to be placed, because it is at least as urgent.
	Ahead float64
	// MemoryUsed is the memory that all running requests need, in tokens.
	MemoryUsed float64
	// PrefillRate is the rate at which the server reads prompts, in tokens per
	// millisecond.
	PrefillRate float64
	// CachedTokens is the number of tokens at the beginning of the prompt that
	// the server is assumed to have cached.
	CachedTokens int
	// Slowness is the processing time of the server relative to its service; 1
	// is average.
	Slowness float64
	// ErrorShare is a moving average of the share of failed requests.
	ErrorShare float64
	// LongestPause is the longest recent gap between two events of a stream.
	LongestPause time.Duration
	// SlotWait is how long the request is expected to wait for a slot.
	SlotWait time.Duration
	// Reserved servers are kept for requests with a tight gap objective.
	Reserved bool
	// Suspended servers failed recently and are chosen only if no other server
	// is left.
	Suspended bool
}

const (
	// Costs are in tokens to read. runningRequestTokens is the cost of each
	// request that already runs at the server, which delays the start of
	// another.
	runningRequestTokens = 200.0
	// baseMissWeight is the cost of a prompt token that is not cached, relative
	// to a token of the backlog: reading a part again takes time from all
	// requests of the service. This cost grows with the mean backlog of the
	// servers: it increases by one per missBacklogTokens, up to maxMissWeight.
	baseMissWeight    = 6.0
	missBacklogTokens = 4000.0
	maxMissWeight     = 30.0
	// unreservedTokens is the cost of placing a tight request on a server that
	// is not reserved.
	unreservedTokens = 4000.0
	// reservedMissWeight is the additional cost of each uncached token on a
	// reserved server, for requests that are not tight.
	reservedMissWeight = 4.0
	// homeMissFactor reduces the miss cost at the home server of a prompt, so
	// that daemons that do not know yet which server has a part cached send it
	// to the same one.
	homeMissFactor = 0.7
	// tightMissWeight is the cost of each uncached token per running tight
	// request, whose events are delayed while the token is read.
	tightMissWeight = 0.03
	// otherDomainTokens is the cost of a server in another failure domain, for
	// the traffic between the domains.
	otherDomainTokens = 150.0
	// errorTokens is the cost of a server at which every request fails while
	// another server has no failures.
	errorTokens = 60000.0
	// coldTokens is the cost of a server that has just started and is not at
	// full speed.
	coldTokens = 2000.0
	// promptlessRequestTokens is the cost of each running request at services
	// whose requests list no prompt parts. It has the unit of otherDomainTokens,
	// with which it is compared.
	promptlessRequestTokens = 400.0
	// minJitterTokens is the range of the random cost that distributes requests over servers of
	// about equal cost. While slots are scarce, it grows by jitterPerContender with each daemon that
	// chooses at the same time, because daemons don't see each other's choices.
	minJitterTokens    = 100.0
	jitterPerContender = 14.0
	// jitterSalt makes the random costs of servers independent of the choice of home servers, which uses
	// the same hash function.
	jitterSalt = 0xd1b54a32d192ed03
)

// Choose returns the index of the candidate with the lowest cost, or -1 if
// there are no candidates.
func Choose(now time.Time, candidates []Candidate, req Request, jitter Jitter, rnd *rand.Rand) int {
	best, bestCost := -1, 0.0
	home := homeIndex(candidates, req)
	pool := newPoolStats(candidates)
	for i := range candidates {
		cost := costOf(now, &candidates[i], req, i == home, pool) + jitter.of(&candidates[i], &req, rnd)
		if best < 0 || ranksBefore(&candidates[i], cost, &candidates[best], bestCost) {
			best, bestCost = i, cost
		}
	}
	return best
}

// Jitter is the range of the random part of the costs of servers, in tokens to read.
type Jitter struct {
	// Each is drawn for each request.
	Each float64
	// ByPart is drawn by the last shared part of a prompt, with the same result at all daemons: different parts are
	// spread over the servers, and one part is not read at several. For other prompts it is drawn for each request.
	ByPart float64
}

// of draws the random part of the cost of a candidate.
func (j Jitter) of(c *Candidate, req *Request, rnd *rand.Rand) float64 {
	if len(req.Prompt) < 2 {
		return (j.Each + j.ByPart) * rnd.Float64()
	}
	return j.Each*rnd.Float64() + j.ByPart*float64(mix(jitterSalt^lastSharedPart(req)^c.hash))/math.MaxUint64
}

// lastSharedPart returns the hash of the last part of a prompt that other prompts may contain as well. The prompt must
// have two parts or more.
func lastSharedPart(req *Request) uint64 { return req.Prompt[len(req.Prompt)-2].Hash }

// ranksBefore reports whether candidate a is preferred to b. Suspended
// candidates come last.
func ranksBefore(a *Candidate, aCost float64, b *Candidate, bCost float64) bool {
	if a.Suspended != b.Suspended {
		return b.Suspended
	}
	return aCost < bCost
}

// costOf returns the cost of placing the request on a candidate, in tokens to
// read.
func costOf(now time.Time, c *Candidate, req Request, home bool, pool poolStats) float64 {
	cost := 0.0
	if len(req.Prompt) == 0 {
		cost = promptlessRequestTokens * c.Running
	} else {
		miss := float64(max(0, req.TokensIn-c.CachedTokens))
		if home {
			miss *= homeMissFactor
		}
		cost = c.Backlog + pool.missWeight*miss + runningRequestTokens*c.Running + tightMissWeight*c.Tight*miss
		if c.Reserved != req.Tight {
			cost += reservationMismatchCost(req, miss)
		}
		cost += c.pauseCost(&req)
		cost += float64(c.SlotWait.Milliseconds()) * c.PrefillRate
	}
	cost *= max(1, c.Slowness)
	if c.Server.Domain != req.Domain {
		cost += otherDomainTokens
	}
	if now.Before(c.Server.ColdUntil) {
		cost += coldTokens
	}
	return cost + errorTokens*max(0, c.ErrorShare-pool.minErrorShare)
}

// reservationMismatchCost is the cost of placing a tight request on an
// unreserved server, or any other request on a reserved one.
func reservationMismatchCost(req Request, miss float64) float64 {
	if req.Tight {
		return unreservedTokens
	}
	return reservedMissWeight * miss
}

// poolStats holds statistics over all candidates of one placement.
type poolStats struct {
	// minErrorShare is the lowest error share of the candidates. Only the
	// excess over it counts, because failures that all servers have in common
	// are no reason to avoid one.
	minErrorShare float64
	// missWeight is the cost of an uncached token at the current mean backlog.
	missWeight float64
}

func newPoolStats(candidates []Candidate) poolStats {
	p := poolStats{minErrorShare: 1}
	backlog, n := 0.0, 0.0
	for _, c := range candidates {
		p.minErrorShare = min(p.minErrorShare, c.ErrorShare)
		if !c.Suspended {
			backlog += c.Backlog
			n++
		}
	}
	p.missWeight = min(maxMissWeight, baseMissWeight+backlog/max(1, n)/missBacklogTokens)
	return p
}

// homeIndex returns the index of the prompt's home server, or -1 if the prompt
// has no shared part. The home is chosen by rendezvous hashing of the last
// shared part, so all daemons agree on it without communicating. Suspended
// servers are excluded, and so are reserved ones unless the request is tight.
func homeIndex(candidates []Candidate, req Request) int {
	if len(req.Prompt) < 2 {
		return -1
	}
	key := lastSharedPart(&req)
	best, bestScore := -1, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if c.Suspended || c.Reserved && !req.Tight {
			continue
		}
		score := mix(key ^ c.hash)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// mix is the finalizer of SplitMix64. It distributes the bits of a hash.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
