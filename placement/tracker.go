package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/fairshare"
)

const (
	// silenceTimeout is how long a server with running requests may send
	// nothing before it counts as suspended. A server that hangs or is
	// unreachable reports no error.
	silenceTimeout = 800 * time.Millisecond
	// silencePrefillRate is the prefill rate, in tokens per millisecond, that
	// even a slow server reaches. A server may be silent while it reads its
	// backlog, so silenceTimeout is extended by the backlog at this rate.
	silencePrefillRate = 20
)

// Tracker estimates the load and the cached prompt parts of each server, from
// the requests of the local daemon and the reports of others. It is safe for
// concurrent use.
type Tracker struct {
	log *log.Logger
	// shares divides scarce slots among customers; nil if they aren't divided.
	shares *fairshare.Ledger

	mu      sync.Mutex
	rnd     *rand.Rand
	servers map[backend.Instance]*serverState
	// peerLoads holds the loads reported by other daemons, by server and
	// daemon; totals holds the total loads reported by relays, by shard; remote
	// holds the load of all other daemons on each server, which updateRemote
	// computes from both.
	peerLoads map[backend.Instance]map[string]peerLoad
	totals    map[int32]receivedTotals
	remote    map[backend.Instance]remoteLoad
	// queuedParts holds the prompt parts to be included in the next totals.
	queuedParts map[backend.Instance][]uint64
	demand      demand
	reserved    reservedShare
	// read holds the rates at which the local daemon places prompt tokens to be read.
	read readRates
	// prefillRate is the rate over all servers, used for servers without
	// samples.
	prefillRate rateEstimate
	// promptSize is how many tokens of a prompt servers have to read.
	promptSize promptSize
	// hold is how long requests with a prompt occupy a slot.
	hold holdEstimate
	// daemons is the number of live daemons.
	daemons int
	// report is signalled when a load should be reported without waiting for the next round.
	report chan struct{}
}

// serverState is what the tracker knows about one instance of a server. The counts
// are those of the local daemon.
type serverState struct {
	// hash is the hash of the server's ID.
	hash           uint64
	running        int
	tight          int
	backlog        byUrgency
	slots          byUrgency
	used           int
	prefillRate    rateEstimate
	pauses         pauseHistory
	failures       int
	suspendedUntil time.Time
	errorShare     float64
	// lastActivity is when the server last sent data, or when the first of its
	// running requests was placed.
	lastActivity time.Time
	// wasSilent is the last logged result of silent.
	wasSilent bool
	// parts holds the time at which each prompt part was last sent to the
	// server by any daemon; unsharedParts holds the parts sent by the local
	// daemon that it has not reported yet.
	parts         map[uint64]time.Time
	unsharedParts []uint64
	// reported is the load last reported to other daemons.
	reported serverLoad
}

// NewTracker returns an empty tracker. If shares is nil, scarce slots are not divided among customers.
func NewTracker(seed uint64, shares *fairshare.Ledger, logger *log.Logger) *Tracker {
	return &Tracker{
		log:         logger,
		shares:      shares,
		rnd:         rand.New(rand.NewPCG(seed, 0)),
		servers:     map[backend.Instance]*serverState{},
		peerLoads:   map[backend.Instance]map[string]peerLoad{},
		totals:      map[int32]receivedTotals{},
		remote:      map[backend.Instance]remoteLoad{},
		queuedParts: map[backend.Instance][]uint64{},
		report:      make(chan struct{}, 1),
	}
}

// Place chooses a server for a request and adds the request to the server's
// load. If there are no servers, both results are nil.
func (t *Tracker) Place(now time.Time, servers []*backend.Server, req Request) (*InFlight, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.candidates(now, servers, req)
	candidates := all
	jitter := Jitter{Each: minJitterTokens}
	if len(req.Prompt) > 0 {
		contenders := 1
		scarce := slotsScarce(candidates)
		if scarce {
			contenders = t.daemons
			jitter.Each = max(minJitterTokens, jitterPerContender*float64(contenders))
		} else {
			jitter.ByPart = unseenSpread * t.unseenTokens(now, len(servers), req.Urgency)
		}
		if refusal := admitBySlots(t.acceptedShare(now, candidates, &req), &req, t.rnd); refusal != nil {
			refusal.Seen = seenAll(candidates, &req)
			return nil, refusal
		}
		candidates = sample(withRoom(candidates, &req, scarce), req, sampleShare(contenders, meantFor(candidates, &req)), t.rnd)
	}
	i := Choose(now, candidates, req, jitter, t.rnd)
	if i < 0 {
		return nil, nil
	}
	if refusal := admit(&candidates[i], &req, t.rnd); refusal != nil {
		refusal.Seen = seenChosen(&candidates[i], all, &req)
		return nil, refusal
	}
	return t.trackRequest(now, req, &candidates[i]), nil
}

// reservedCount returns the number of servers to reserve for tight requests. The caller must hold
// t.mu.
func (t *Tracker) reservedCount(now time.Time, candidates []Candidate) int {
	t.demand.decay(now)
	return max(t.demand.reservedCount(len(candidates)), t.reserved.count(now, candidates))
}

// candidate returns the estimated state of a server for a request. The caller
// must hold t.mu.
func (t *Tracker) candidate(now time.Time, s *backend.Server, req Request) Candidate {
	st := t.state(s.Instance())
	others := t.remote[s.Instance()]
	total := st.backlog.total() + others.backlog.total()
	silent := st.silent(now, total)
	if silent != st.wasSilent {
		st.wasSilent = silent
		t.log.Info("server silence detected or ended", "server", s.ID, "silent", silent, "running", st.running, "heard_ms", now.Sub(st.lastActivity).Milliseconds())
	}
	slots := st.slots
	slots.add(&others.slots)
	c := Candidate{
		Server:          s,
		hash:            st.hash,
		Slots:           s.Slots,
		AtLeastAsUrgent: slots.atLeast(req.Urgency),
		Running:         float64(st.running) + others.running,
		Tight:           float64(st.tight) + others.tight,
		Backlog:         total,
		Ahead:           st.backlog.atLeast(req.Urgency) + others.backlog.atLeast(req.Urgency),
		MemoryUsed:      float64(st.used) + others.used,
		PrefillRate:     st.prefillRate.orDefault(t.prefillRate.orDefault(defaultPrefillRate)),
		CachedTokens:    st.cachedTokens(now, req.Prompt),
		Slowness:        1,
		ErrorShare:      st.errorShare,
		LongestPause:    st.pauses.longest(now),
		Suspended:       now.Before(st.suspendedUntil) || silent,
	}
	c.SlotWait = c.slotWait(t.hold.orDefault())
	return c
}

// silent reports whether the server has running requests and has sent nothing
// for longer than reading its backlog explains.
func (st *serverState) silent(now time.Time, backlog float64) bool {
	explained := time.Duration(backlog/silencePrefillRate) * time.Millisecond
	return st.running > 0 && now.Sub(st.lastActivity) > silenceTimeout+explained
}

// Running returns the numbers of requests that the local daemon and all daemons have at a server, the latter as
// far as is known.
func (t *Tracker) Running(server backend.Instance) (local, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if st := t.servers[server]; st != nil {
		local = st.running
	}
	return local, local + int(t.remote[server].running)
}

// state returns the state of a server and creates it if necessary. The caller
// must hold t.mu.
func (t *Tracker) state(instance backend.Instance) *serverState {
	st := t.servers[instance]
	if st == nil {
		st = &serverState{hash: xxhash.Sum64String(instance.ID), parts: map[uint64]time.Time{}}
		t.servers[instance] = st
	}
	return st
}

// trackRequest adds a request to the load of the chosen server. The caller must
// hold t.mu.
func (t *Tracker) trackRequest(now time.Time, req Request, c *Candidate) *InFlight {
	s := c.Server
	st := t.state(s.Instance())
	uncached := max(0, req.TokensIn-c.CachedTokens)
	t.demand.add(now, req.Tight, float64(uncached)+outputWeight*float64(req.TokensOut))
	f := &InFlight{
		tracker: t, Server: s, placedAt: now, tight: req.Tight,
		pendingTokens: uncached, urgency: req.Urgency, used: int(memoryTokens(&req)),
		Estimate: Estimate{UncachedTokens: uncached, BacklogTokens: int(c.Ahead), Running: int(c.Running), MemoryTokens: int(c.MemoryUsed)},
	}
	if st.running == 0 {
		st.lastActivity = now
	}
	st.running++
	st.slots[req.Urgency]++
	if f.tight {
		st.tight++
	}
	if len(req.Prompt) > 0 {
		t.promptSize.observe(uncached)
	}
	st.backlog[f.urgency] += int32(f.pendingTokens)
	st.used += f.used
	t.read[req.Urgency].add(now, float64(uncached))
	if uncached >= earlyReportTokens {
		t.requestReport()
	}
	for i, p := range req.Prompt {
		st.recordParts([]uint64{p.Hash}, now)
		if i < len(req.Prompt)-1 {
			st.unsharedParts = append(st.unsharedParts, p.Hash)
		}
	}
	return f
}

// requestReport makes the exchange report the local loads early, unless it is going to anyway.
func (t *Tracker) requestReport() {
	select {
	case t.report <- struct{}{}:
	default:
	}
}

// setDaemons sets the number of live daemons.
func (t *Tracker) setDaemons(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.daemons = n
}

// Forget removes the state of servers that are not known any more and have no
// running requests.
func (t *Tracker) Forget(known func(backend.Instance) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for instance, st := range t.servers {
		if st.running == 0 && !known(instance) {
			delete(t.servers, instance)
		}
	}
}
