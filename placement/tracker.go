package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jacinththread/jacinththread/backend"
)

const (
	// suspendMin and suspendMax bound how long a failed server gets nothing.
	suspendMin = 200 * time.Millisecond
	suspendMax = 3 * time.Second
	// suspendDoublings is the number of failures in a row that lengthen the pause.
	suspendDoublings = 6
	// quietAfter is how long a server with requests may send nothing before it
	// is avoided: a server that has gone dark answers neither way.
	quietAfter = 800 * time.Millisecond
	// slowestReading is the pace, in tokens a millisecond, at which even a slow
	// server reads prompts; meanwhile it may be silent.
	slowestReading = 20
	// smoothing is the weight of the newest observation.
	smoothing = 0.15
	// maxParts bounds the prompt parts remembered for a server.
	maxParts = 1000
	// partAge is how long a part is taken to be held after its last use.
	partAge = 30 * time.Second
)

// Result tells how a request at a server ended.
type Result uint8

// Results of a request.
const (
	// Served requests got a whole answer.
	Served Result = iota
	// Failed requests got an error or a broken answer.
	Failed
	// Unreachable servers did not take the request.
	Unreachable
	// Full servers refused the request.
	Full
	// Abandoned requests were ended by the caller or the deadline.
	Abandoned
)

// Tracker remembers what the local daemon has sent to each server and how it
// went. It is safe for concurrent use.
type Tracker struct {
	log *log.Logger

	mu      sync.Mutex
	rnd     *rand.Rand
	servers map[backend.Life]*state
	// told holds what other daemons told of themselves, totals what relays told
	// of all, and remote what follows from both.
	told   map[backend.Life]map[string]told
	totals map[int32]heardTotals
	remote map[backend.Life]remote
	// passOn holds the parts that go into the next totals.
	passOn map[backend.Life][]uint64
	demand demand
	// pace is that of all servers together.
	pace pace
}

type state struct {
	running    int
	tight      int
	reading    int
	used       int
	pace       pace
	pauses     pauses
	failures   int
	suspended  time.Time
	errorShare float64
	// heard is when the server last sent anything, or when it got the first of
	// its present requests.
	heard time.Time
	// wasQuiet is what was last logged about its silence.
	wasQuiet bool
	// parts holds when each prompt part was last sent to the server, by any
	// daemon; fresh holds those of the local daemon that others were not told.
	parts map[uint64]time.Time
	fresh []uint64
	// reported is what other daemons were last told.
	reported load
}

// NewTracker returns an empty tracker.
func NewTracker(seed uint64, logger *log.Logger) *Tracker {
	return &Tracker{
		log:     logger,
		rnd:     rand.New(rand.NewPCG(seed, 0)),
		servers: map[backend.Life]*state{},
		told:    map[backend.Life]map[string]told{},
		totals:  map[int32]heardTotals{},
		remote:  map[backend.Life]remote{},
		passOn:  map[backend.Life][]uint64{},
	}
}

// Place chooses among servers and counts the request there. It returns neither
// a flight nor a refusal if there are no servers.
func (t *Tracker) Place(now time.Time, servers []*backend.Server, want Want) (*Flight, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := make([]Candidate, len(servers))
	for i, s := range servers {
		candidates[i] = t.candidate(now, s, want)
	}
	if len(want.Prompt) > 0 {
		t.demand.fade(now)
		markReserved(candidates, t.demand.reservedCount(len(candidates)))
	}
	i := Choose(now, candidates, want, t.rnd)
	if i < 0 {
		return nil, nil
	}
	if refusal := admit(&candidates[i], &want, t.rnd); refusal != nil {
		return nil, refusal
	}
	return t.begin(now, want, &candidates[i]), nil
}

func (t *Tracker) candidate(now time.Time, s *backend.Server, want Want) Candidate {
	st := t.state(s.Life())
	others := t.remote[s.Life()]
	quiet := st.quiet(now, float64(st.reading)+others.reading)
	if quiet != st.wasQuiet {
		st.wasQuiet = quiet
		t.log.Info("silence of a server changed", "server", s.ID, "silent", quiet, "running", st.running, "heard_ms", now.Sub(st.heard).Milliseconds())
	}
	return Candidate{
		Server:     s,
		Running:    float64(st.running) + others.running,
		Tight:      float64(st.tight) + others.tight,
		Reading:    float64(st.reading) + others.reading,
		Used:       float64(st.used) + others.used,
		Pace:       st.pace.get(t.pace.get(paceStart)),
		Held:       st.held(now, want.Prompt),
		Slowness:   1,
		ErrorShare: st.errorShare,
		Pause:      st.pauses.longest(now),
		Suspended:  now.Before(st.suspended) || quiet,
	}
}

// quiet reports whether the server owes answers and has sent nothing for longer
// than the tokens that it has to read explain.
func (st *state) quiet(now time.Time, reading float64) bool {
	explained := time.Duration(reading/slowestReading) * time.Millisecond
	return st.running > 0 && now.Sub(st.heard) > quietAfter+explained
}

func (t *Tracker) state(life backend.Life) *state {
	st := t.servers[life]
	if st == nil {
		st = &state{parts: map[uint64]time.Time{}}
		t.servers[life] = st
	}
	return st
}

// held is the size of the parts at the prompt's beginning that were sent to the
// server before.
func (st *state) held(now time.Time, prompt []Part) int {
	n := 0
	for _, p := range prompt {
		if used, ok := st.parts[p.Hash]; !ok || now.Sub(used) > partAge {
			break
		}
		n += p.Tokens
	}
	return n
}

func (t *Tracker) begin(now time.Time, want Want, c *Candidate) *Flight {
	s := c.Server
	st := t.state(s.Life())
	missing := max(0, want.TokensIn-c.Held)
	t.demand.add(now, want.Tight, float64(missing)+outputWeight*float64(want.TokensOut))
	f := &Flight{
		tracker: t, Server: s, placed: now, tight: want.Tight,
		reading: missing, used: int(memoryNeed(&want)), Missing: missing, Backlog: int(c.Reading),
	}
	if st.running == 0 {
		st.heard = now
	}
	st.running++
	if f.tight {
		st.tight++
	}
	st.reading += f.reading
	st.used += f.used
	for i, p := range want.Prompt {
		st.note([]uint64{p.Hash}, now)
		if i < len(want.Prompt)-1 {
			st.fresh = append(st.fresh, p.Hash)
		}
	}
	return f
}

// note records that parts were sent to the server.
func (st *state) note(parts []uint64, now time.Time) {
	for _, p := range parts {
		st.parts[p] = now
	}
	if len(st.parts) > maxParts {
		st.forgetParts(now)
	}
}

// forgetParts drops the parts that were not used lately, and any of the rest if
// there are still too many.
func (st *state) forgetParts(now time.Time) {
	for age := partAge; len(st.parts) > maxParts/2 && age > time.Second; age /= 2 {
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

// Forget drops the servers that are not known any more and have no requests.
func (t *Tracker) Forget(known func(backend.Life) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for life, st := range t.servers {
		if st.running == 0 && !known(life) {
			delete(t.servers, life)
		}
	}
}

// Flight is a request at a server.
type Flight struct {
	tracker *Tracker
	Server  *backend.Server
	// Missing is the number of prompt tokens that the server did not hold.
	Missing int
	// Backlog is the number of tokens that the server had to read before.
	Backlog int
	placed  time.Time
	// event is when the server last sent a part of the answer.
	event   time.Time
	reading int
	used    int
	tight   bool
	ended   bool
}

// Heard records that the server sent a part of the answer.
func (f *Flight) Heard(now time.Time) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	st := f.tracker.state(f.Server.Life())
	st.heard = now
	if !f.event.IsZero() {
		st.pauses.observe(now, now.Sub(f.event))
	}
	f.event = now
	if f.reading > 0 {
		st.pace.observe(f.Backlog+f.Missing, now.Sub(f.placed))
		f.tracker.pace.observe(f.Backlog+f.Missing, now.Sub(f.placed))
	}
	f.read()
}

// read takes the prompt out of what the server has to read.
func (f *Flight) read() {
	f.tracker.state(f.Server.Life()).reading -= f.reading
	f.reading = 0
}

// End records how the request ended. Later calls have no effect.
func (f *Flight) End(now time.Time, r Result) {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	f.read()
	st := f.tracker.state(f.Server.Life())
	st.running--
	st.used -= f.used
	if f.tight {
		st.tight--
	}
	switch r {
	case Served:
		st.failures = 0
		st.heard = now
		st.observe(0)
	case Failed:
		st.observe(1)
	case Unreachable:
		pause := st.suspend(now)
		f.tracker.log.Info("server is avoided after a failure", "server", f.Server.ID, "failures", st.failures, "pause_ms", pause.Milliseconds())
	case Full:
		st.suspended = now.Add(suspendMin)
	case Abandoned:
	}
}

func (st *state) observe(failed float64) {
	st.errorShare += smoothing * (failed - st.errorShare)
}

// suspend keeps requests away for longer after each failure in a row.
func (st *state) suspend(now time.Time) time.Duration {
	pause := min(suspendMax, suspendMin<<min(st.failures, suspendDoublings))
	st.suspended = now.Add(pause)
	st.failures++
	return pause
}
