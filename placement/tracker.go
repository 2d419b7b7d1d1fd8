package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jacinththread/jacinththread/backend"
)

const (
	// suspendMin and suspendMax bound how long a server is suspended after a
	// failure.
	suspendMin = 200 * time.Millisecond
	suspendMax = 3 * time.Second
	// suspendDoublings is the largest number of times that consecutive failures
	// double the suspension.
	suspendDoublings = 6
	// silenceTimeout is how long a server with running requests may send
	// nothing before it counts as suspended. A server that hangs or is
	// unreachable reports no error.
	silenceTimeout = 800 * time.Millisecond
	// silencePrefillRate is the prefill rate, in tokens per millisecond, that
	// even a slow server reaches. A server may be silent while it reads its
	// backlog, so silenceTimeout is extended by the backlog at this rate.
	silencePrefillRate = 20
	// errorShareSmoothing is the weight of the newest result in the error
	// share.
	errorShareSmoothing = 0.15
	// maxParts is the largest number of prompt parts recorded per server.
	maxParts = 1000
	// partTTL is how long after its last use a part is assumed to be cached.
	partTTL = 30 * time.Second
)

// Result is the outcome of a request at a server.
type Result uint8

// Results of a request.
const (
	// Served requests received a complete response.
	Served Result = iota
	// Failed requests received an error, an incomplete response or none.
	Failed
	// Unreachable means that the request could not be sent to the server or that
	// the server did not respond in time.
	Unreachable
	// Refused means that the server refused the request without running it.
	Refused
	// Abandoned requests were ended by the caller or the deadline.
	Abandoned
)

// Tracker estimates the load and the cached prompt parts of each server, from
// the requests of the local daemon and the reports of others. It is safe for
// concurrent use.
type Tracker struct {
	log *log.Logger

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
	// prefillRate is the rate over all servers, used for servers without
	// samples.
	prefillRate rateEstimate
}

// serverState is what the tracker knows about one instance of a server. The counts
// are those of the local daemon.
type serverState struct {
	running        int
	tight          int
	backlog        backlog
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

// NewTracker returns an empty tracker.
func NewTracker(seed uint64, logger *log.Logger) *Tracker {
	return &Tracker{
		log:         logger,
		rnd:         rand.New(rand.NewPCG(seed, 0)),
		servers:     map[backend.Instance]*serverState{},
		peerLoads:   map[backend.Instance]map[string]peerLoad{},
		totals:      map[int32]receivedTotals{},
		remote:      map[backend.Instance]remoteLoad{},
		queuedParts: map[backend.Instance][]uint64{},
	}
}

// Place chooses a server for a request and adds the request to the server's
// load. If there are no servers, both results are nil.
func (t *Tracker) Place(now time.Time, servers []*backend.Server, req Request) (*InFlight, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := make([]Candidate, len(servers))
	for i, s := range servers {
		candidates[i] = t.candidate(now, s, req)
	}
	if len(req.Prompt) > 0 {
		t.demand.decay(now)
		markReserved(candidates, t.demand.reservedCount(len(candidates)))
	}
	i := Choose(now, candidates, req, t.rnd)
	if i < 0 {
		return nil, nil
	}
	if refusal := admit(&candidates[i], &req, t.rnd); refusal != nil {
		return nil, refusal
	}
	return t.trackRequest(now, req, &candidates[i]), nil
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
	return Candidate{
		Server:       s,
		Running:      float64(st.running) + others.running,
		Tight:        float64(st.tight) + others.tight,
		Backlog:      total,
		Ahead:        st.backlog.ahead(req.Urgency) + others.backlog.ahead(req.Urgency),
		MemoryUsed:   float64(st.used) + others.used,
		PrefillRate:  st.prefillRate.orDefault(t.prefillRate.orDefault(defaultPrefillRate)),
		CachedTokens: st.cachedTokens(now, req.Prompt),
		Slowness:     1,
		ErrorShare:   st.errorShare,
		LongestPause: st.pauses.longest(now),
		Suspended:    now.Before(st.suspendedUntil) || silent,
	}
}

// silent reports whether the server has running requests and has sent nothing
// for longer than reading its backlog explains.
func (st *serverState) silent(now time.Time, backlog float64) bool {
	explained := time.Duration(backlog/silencePrefillRate) * time.Millisecond
	return st.running > 0 && now.Sub(st.lastActivity) > silenceTimeout+explained
}

// state returns the state of a server and creates it if necessary. The caller
// must hold t.mu.
func (t *Tracker) state(instance backend.Instance) *serverState {
	st := t.servers[instance]
	if st == nil {
		st = &serverState{parts: map[uint64]time.Time{}}
		t.servers[instance] = st
	}
	return st
}

// cachedTokens returns the number of tokens at the beginning of the prompt that
// were sent to the server within partTTL.
func (st *serverState) cachedTokens(now time.Time, prompt []Part) int {
	n := 0
	for _, p := range prompt {
		if used, ok := st.parts[p.Hash]; !ok || now.Sub(used) > partTTL {
			break
		}
		n += p.Tokens
	}
	return n
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
	if f.tight {
		st.tight++
	}
	st.backlog[f.urgency] += int32(f.pendingTokens)
	st.used += f.used
	for i, p := range req.Prompt {
		st.recordParts([]uint64{p.Hash}, now)
		if i < len(req.Prompt)-1 {
			st.unsharedParts = append(st.unsharedParts, p.Hash)
		}
	}
	return f
}

// recordParts records that parts were sent to the server.
func (st *serverState) recordParts(parts []uint64, now time.Time) {
	for _, p := range parts {
		st.parts[p] = now
	}
	if len(st.parts) > maxParts {
		st.evictParts(now)
	}
}

// evictParts reduces the recorded parts to at most maxParts/2. It removes parts
// that were not used recently and then, if necessary, arbitrary ones.
func (st *serverState) evictParts(now time.Time) {
	for age := partTTL; len(st.parts) > maxParts/2 && age > time.Second; age /= 2 {
		for id, used := range st.parts {
			if now.Sub(used) > age {
				delete(st.parts, id)
			}
		}
	}
	for id := range st.parts {
		if len(st.parts) <= maxParts/2 {
			return
		}
		delete(st.parts, id)
	}
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

// Estimate is what was assumed about a server when a request was placed on it.
type Estimate struct {
	// UncachedTokens is the number of prompt tokens that the server did not have
	// cached.
	UncachedTokens int
	// BacklogTokens is the number of prompt tokens that the server had to read
	// before this request.
	BacklogTokens int
	// Running is the number of other requests at the server, of all daemons.
	Running int
	// MemoryTokens is the memory that these requests need, in tokens.
	MemoryTokens int
}

// InFlight is a request in flight at a server.
type InFlight struct {
	tracker *Tracker
	Server  *backend.Server
	Estimate
	placedAt time.Time
	// lastEvent is when the server last sent a part of the response.
	lastEvent time.Time
	// pendingTokens is the request's part of the server's backlog: its uncached
	// tokens until the first event, then 0.
	pendingTokens int
	urgency       int
	used          int
	tight         bool
	ended         bool
}

// RecordProgress records that the server sent a part of the response. The first
// call marks the prompt as read and samples the prefill rate.
func (f *InFlight) RecordProgress(now time.Time) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	st := f.tracker.state(f.Server.Instance())
	st.lastActivity = now
	if !f.lastEvent.IsZero() {
		st.pauses.observe(now, now.Sub(f.lastEvent))
	}
	f.lastEvent = now
	if f.pendingTokens > 0 {
		st.prefillRate.observe(f.BacklogTokens+f.UncachedTokens, now.Sub(f.placedAt))
		f.tracker.prefillRate.observe(f.BacklogTokens+f.UncachedTokens, now.Sub(f.placedAt))
	}
	f.clearPending()
}

// clearPending removes the prompt from the server's backlog. The caller must
// hold the tracker's lock.
func (f *InFlight) clearPending() {
	f.tracker.state(f.Server.Instance()).backlog[f.urgency] -= int32(f.pendingTokens)
	f.pendingTokens = 0
}

// End records the outcome of the request. Only the first call has an effect.
func (f *InFlight) End(now time.Time, r Result) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.clearPending()
	st := f.tracker.state(f.Server.Instance())
	st.running--
	st.used -= f.used
	if f.tight {
		st.tight--
	}
	switch r {
	case Served:
		st.failures = 0
		st.lastActivity = now
		st.observeResult(0)
	case Failed:
		st.observeResult(1)
	case Unreachable:
		pause := st.suspend(now)
		f.tracker.log.Info("server is avoided after a failure", "server", f.Server.ID, "failures", st.failures, "pause_ms", pause.Milliseconds())
	case Refused:
		st.suspendedUntil = now.Add(suspendMin)
	case Abandoned:
	}
}

// observeResult updates the moving average of the error share; failed is 1 for
// a failed request and 0 for a served one.
func (st *serverState) observeResult(failed float64) {
	st.errorShare += errorShareSmoothing * (failed - st.errorShare)
}

// suspend suspends the server after a failure and returns for how long. The
// time doubles with each consecutive failure.
func (st *serverState) suspend(now time.Time) time.Duration {
	pause := min(suspendMax, suspendMin<<min(st.failures, suspendDoublings))
	st.suspendedUntil = now.Add(pause)
	st.failures++
	return pause
}
