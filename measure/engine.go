package measure

import (
	"slices"
	"time"
)

const (
	// gapBase and gapPerRequest give the time between tokens of each request
	// in a batch.
	gapBase       = 20 * time.Millisecond
	gapPerRequest = 2400 * time.Microsecond
	// batchLimit is the most requests an engine runs at once; further ones
	// wait inside the engine.
	batchLimit = 22
	// promptTokensPerToken is the number of prompt tokens read in the time of
	// one generated token.
	promptTokensPerToken = 64
	// cachedPrefixes is the number of prompt prefixes an engine keeps.
	cachedPrefixes = 12
	// stragglerSpeed is the relative speed of a straggler.
	stragglerSpeed = 0.1

	progressEpsilon = 1e-6
)

// tokenGap is the time between tokens in a batch of n requests.
func tokenGap(n int) time.Duration { return gapBase + time.Duration(n)*gapPerRequest }

// engineRate is the work of a full batch, in tokens a second.
func engineRate() float64 { return batchLimit / tokenGap(batchLimit).Seconds() }

// job is one attempt to run a request on an engine.
type job struct {
	tier   int
	prefix uint64
	// shared is the part of the prompt that a cached prefix saves.
	shared, prompt int
	// offset is the first token to generate and length the number of tokens
	// of the whole answer.
	offset, length int
	// silentAfter is the number of generated tokens after which the connection
	// carries nothing; zero means never.
	silentAfter int

	onFirst   func()
	onSilence func()
	// onEnd is called when the answer is complete or broken.
	onEnd func(whole bool)

	seq      int
	start    float64
	prefill  float64
	first    bool
	silent   bool
	progress float64
}

// tokens is the number of tokens generated so far.
func (j *job) tokens() int {
	n := int(j.progress - j.start - j.prefill + progressEpsilon)
	return min(max(n, 0), j.length-j.offset)
}

func (j *job) nextStep() float64 {
	ready := j.start + j.prefill
	switch {
	case !j.first:
		return ready + 1
	case j.silentAfter > 0 && !j.silent && j.silentAfter < j.length-j.offset:
		return ready + float64(max(j.silentAfter, 1))
	}
	return ready + float64(j.length-j.offset)
}

// engine is a fake model engine: it batches continuously, slows down as the
// batch grows, and caches prompt prefixes. Its methods run under the clock.
type engine struct {
	name  string
	clock clock
	// byTier orders waiting requests by tier instead of by arrival.
	byTier bool
	speed  float64
	down   bool

	running []*job
	queue   []*job
	cache   []uint64
	// progress is the work done for each request that ran all the time.
	progress float64
	at       time.Duration
	wake     *timer
	seq      int
	// generated counts all tokens generated.
	generated int
}

func newEngine(name string, c clock) *engine { return &engine{name: name, clock: c, speed: 1} }

// load is the number of requests on the engine.
func (e *engine) load() int { return len(e.running) + len(e.queue) }

// begin runs or queues a job. It reports false if the engine is down.
func (e *engine) begin(j *job) bool {
	if e.down {
		return false
	}
	e.advance()
	e.seq++
	j.seq = e.seq
	e.queue = append(e.queue, j)
	if e.byTier {
		slices.SortStableFunc(e.queue, func(a, b *job) int { return a.tier - b.tier })
	}
	e.admit()
	e.schedule()
	return true
}

// cancel takes a job off the engine.
func (e *engine) cancel(j *job) {
	if i := slices.Index(e.queue, j); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
		return
	}
	e.advance()
	j.progress = e.progress
	if i := slices.Index(e.running, j); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.generated += j.tokens()
	}
	e.admit()
	e.schedule()
}

// crash breaks all jobs and empties the cache.
func (e *engine) crash() {
	e.advance()
	e.down = true
	broken := append(slices.Clone(e.running), e.queue...)
	for _, j := range e.running {
		j.progress = e.progress
		e.generated += j.tokens()
	}
	e.running, e.queue, e.cache = nil, nil, nil
	e.schedule()
	for _, j := range broken {
		j.onEnd(false)
	}
}

func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.schedule()
}

// advance brings the progress up to now.
func (e *engine) advance() {
	now := e.clock.now()
	if n := len(e.running); n > 0 {
		e.progress += e.speed * float64(now-e.at) / float64(tokenGap(n))
	}
	e.at = now
}

func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < batchLimit {
		j := e.queue[0]
		e.queue = slices.Delete(e.queue, 0, 1)
		j.start = e.progress
		j.prefill = e.prefill(j)
		e.running = append(e.running, j)
	}
}

// prefill is the work of reading the prompt, and notes its prefix as cached.
func (e *engine) prefill(j *job) float64 {
	read := j.prompt + j.offset
	if e.touch(j.prefix) {
		read -= j.shared
	}
	return float64(read) / promptTokensPerToken
}

func (e *engine) touch(prefix uint64) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cachedPrefixes {
		e.cache = e.cache[1:]
	}
	return i >= 0
}

func (e *engine) holds(prefix uint64) bool { return slices.Contains(e.cache, prefix) }

// schedule sets the timer for the next step of a running job.
func (e *engine) schedule() {
	e.wake.stop()
	e.wake = nil
	if len(e.running) == 0 {
		return
	}
	next := e.running[0].nextStep()
	for _, j := range e.running[1:] {
		next = min(next, j.nextStep())
	}
	wait := (next - e.progress) * float64(tokenGap(len(e.running))) / e.speed
	e.wake = e.clock.after(time.Duration(wait)+1, e.step)
}

// step reports what the running jobs reached.
func (e *engine) step() {
	e.advance()
	var reports []func()
	kept := e.running[:0]
	for _, j := range e.running {
		j.progress = e.progress
		if j.nextStep() > e.progress+progressEpsilon {
			kept = append(kept, j)
			continue
		}
		switch {
		case !j.first:
			j.first = true
			reports = append(reports, j.onFirst)
		case j.silentAfter > 0 && !j.silent && j.silentAfter < j.length-j.offset:
			j.silent = true
			reports = append(reports, j.onSilence)
		}
		if j.tokens() < j.length-j.offset {
			kept = append(kept, j)
			continue
		}
		e.generated += j.tokens()
		if !j.silent {
			reports = append(reports, func() { j.onEnd(true) })
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.admit()
	e.schedule()
	for _, report := range reports {
		report()
	}
}
