package measure

import (
	"slices"
	"time"
)

const (
	// gapBase and gapPerRequest give the time between two tokens of a request:
	// it grows linearly with the batch size.
	gapBase       = 20 * time.Millisecond
	gapPerRequest = 2400 * time.Microsecond
	// batchLimit is the maximum batch size; further requests wait in the
	// engine's queue.
	batchLimit = 22
	// promptTokensPerToken is the number of prompt tokens that an engine
	// prefills in the time it takes to generate one token.
	promptTokensPerToken = 64
	// cachedPrefixes is the capacity of an engine's prefix cache, in prefixes.
	cachedPrefixes = 12
	// stragglerSpeed is the speed of a straggler relative to a healthy engine.
	stragglerSpeed = 0.1

	// progressEpsilon absorbs rounding errors in progress, in tokens.
	progressEpsilon = 1e-6
)

// tokenGap returns the time between two tokens of a request in a batch of n.
func tokenGap(n int) time.Duration { return gapBase + time.Duration(n)*gapPerRequest }

// engineRate returns the throughput of a full batch, in tokens per second.
func engineRate() float64 { return batchLimit / tokenGap(batchLimit).Seconds() }

// job is one attempt to run a request on an engine.
type job struct {
	tier   int
	prefix uint64
	// prompt is the length of the prompt in tokens; shared is the length of its
	// prefix, which is not prefilled again if it is cached.
	shared, prompt int
	// length is the number of tokens of the complete response. Generation
	// starts at token offset, which is above zero for a resumed stream.
	offset, length int
	// stallAfter is the number of generated tokens after which the stream
	// stalls without closing; zero means never.
	stallAfter int

	onFirst func()
	onStall func()
	// onEnd is called when the response is complete or has been aborted.
	onEnd func(complete bool)

	seq int
	// start is the engine's progress when the job joined the batch, progress
	// the latest one seen, and prefill the work of reading the prompt.
	start    float64
	prefill  float64
	first    bool
	stalled  bool
	progress float64
}

// tokens returns the number of tokens generated so far.
func (j *job) tokens() int {
	n := int(j.progress - j.start - j.prefill + progressEpsilon)
	return min(max(n, 0), j.length-j.offset)
}

// nextStep returns the engine progress at which the job's next callback is due:
// its first token, the start of its stall, or its last token.
func (j *job) nextStep() float64 {
	ready := j.start + j.prefill
	switch {
	case !j.first:
		return ready + 1
	case j.stallAfter > 0 && !j.stalled && j.stallAfter < j.length-j.offset:
		return ready + float64(max(j.stallAfter, 1))
	}
	return ready + float64(j.length-j.offset)
}

// engine simulates a model server with continuous batching and a prefix cache.
// The time between tokens grows with the batch. Its methods must be called from
// callbacks of the clock.
type engine struct {
	name  string
	clock clock
	// byTier orders the queue by tier instead of by arrival.
	byTier bool
	speed  float64
	down   bool

	running []*job
	queue   []*job
	cache   []uint64
	// progress is the number of tokens, with prefill counted in tokens, that a
	// request in the batch since the start of the run would have generated.
	progress float64
	// at is the time at which progress was last updated.
	at time.Duration
	// wake calls step when the next step of a running job is due.
	wake *timer
	seq  int
	// generated counts the tokens of all jobs that have ended.
	generated int
}

func newEngine(name string, c clock) *engine { return &engine{name: name, clock: c, speed: 1} }

// load returns the number of running and queued requests.
func (e *engine) load() int { return len(e.running) + len(e.queue) }

// begin runs or queues a job. It returns false if the engine is down.
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

// cancel removes a job from the queue or the batch.
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

// crash aborts all jobs, empties the prefix cache and takes the engine down.
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

// advance updates the progress to the current time.
func (e *engine) advance() {
	now := e.clock.now()
	if n := len(e.running); n > 0 {
		e.progress += e.speed * float64(now-e.at) / float64(tokenGap(n))
	}
	e.at = now
}

// admit moves queued jobs into the batch up to batchLimit.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < batchLimit {
		j := e.queue[0]
		e.queue = slices.Delete(e.queue, 0, 1)
		j.start = e.progress
		j.prefill = e.prefill(j)
		e.running = append(e.running, j)
	}
}

// prefill returns the work of reading the prompt and the tokens generated
// before a resumption, and adds the prompt's prefix to the cache.
func (e *engine) prefill(j *job) float64 {
	read := j.prompt + j.offset
	if e.usePrefix(j.prefix) {
		read -= j.shared
	}
	return float64(read) / promptTokensPerToken
}

// usePrefix marks a prefix as the most recently used one, evicts the least
// recently used one if the cache is full, and reports whether the prefix was
// cached before.
func (e *engine) usePrefix(prefix uint64) bool {
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

func (e *engine) hasPrefix(prefix uint64) bool { return slices.Contains(e.cache, prefix) }

// schedule sets the timer to the earliest next step of the running jobs.
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

// step calls the callbacks of the running jobs that have reached their next
// step and removes the jobs that are done.
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
		case j.stallAfter > 0 && !j.stalled && j.stallAfter < j.length-j.offset:
			j.stalled = true
			reports = append(reports, j.onStall)
		}
		if j.tokens() < j.length-j.offset {
			kept = append(kept, j)
			continue
		}
		e.generated += j.tokens()
		if !j.stalled {
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
