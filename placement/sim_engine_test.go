package placement

import (
	"cmp"
	"slices"
	"time"
)

// This file simulates the model servers of a simFleet. They batch requests, read prompts in chunks between
// the decoding steps of running requests, and preempt less urgent requests for more urgent ones.

// simEngineConfig describes the servers.
type simEngineConfig struct {
	// slots is the size of a batch, queue the number of requests that may wait for it.
	slots, queue int
	// A step takes stepBase, stepRunning per running request and stepRead per prompt token that is
	// read in it. Up to chunkTokens prompt tokens are read in a step.
	stepBase, stepRunning, stepRead time.Duration
	chunkTokens                     int
	// tokensPerEvent is the number of tokens in an event of a stream.
	tokensPerEvent int
	// memory is the memory of a server in tokens.
	memory int
}

// simJob is a request at a server.
type simJob struct {
	call   *simCall
	flight *InFlight
	engine *simEngine
	// sends is the number of servers that the request was sent to, with this one.
	sends int
	// left is the number of prompt tokens that are still to be read; tokens and events count what was generated.
	left, tokens, events int
	// admitted is the number of requests that the server had admitted to its batch, with this one.
	admitted int
	// sentAt is when the request was sent, last when its last event arrived, or sentAt before the first.
	sentAt, last time.Duration
	// started is set with the first event, gone once the request is no longer at the server.
	started, gone bool
}

// simEngine is a simulated model server.
type simEngine struct {
	cfg *simEngineConfig
	// running is the batch, waiting the queue.
	running, waiting []*simJob
	// cache holds the hashes of the prompt parts that were read.
	cache map[uint64]bool
	// admitted counts the requests that were admitted to the batch.
	admitted int
	// stepping is set while a step is under way.
	stepping bool
}

// wake makes a server that is idle begin a step.
func (f *simFleet) wake(e *simEngine) {
	if e.stepping || len(e.running)+len(e.waiting) == 0 {
		return
	}
	e.stepping = true
	f.admit(e)
	took := f.prefill(e)
	f.after(took, func() {
		e.stepping = false
		f.decode(e)
		f.wake(e)
	})
}

// admit moves requests from the queue to the batch, the most urgent first. An urgent request preempts the
// newest of the least urgent ones.
func (f *simFleet) admit(e *simEngine) {
	for len(e.waiting) > 0 {
		next := slices.MinFunc(e.waiting, func(a, b *simJob) int {
			return cmp.Or(cmp.Compare(a.flight.urgency, b.flight.urgency), cmp.Compare(a.sentAt, b.sentAt))
		})
		if len(e.running) >= e.cfg.slots {
			victim := slices.MaxFunc(e.running, func(a, b *simJob) int {
				return cmp.Or(cmp.Compare(a.flight.urgency, b.flight.urgency), cmp.Compare(a.admitted, b.admitted))
			})
			if victim.flight.urgency <= next.flight.urgency {
				return
			}
			f.counts.preempted++
			e.running = slices.DeleteFunc(e.running, func(o *simJob) bool { return o == victim })
			e.waiting = append(e.waiting, victim)
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(o *simJob) bool { return o == next })
		e.admitted++
		next.admitted = e.admitted
		next.left = next.tokens
		cached := true
		for _, p := range next.call.req.Prompt {
			cached = cached && e.cache[p.Hash]
			if !cached {
				next.left += p.Tokens
			}
		}
		f.counts.uncached += next.left
		e.running = append(e.running, next)
	}
}

// prefill reads a chunk of prompts and returns how long the step takes.
func (f *simFleet) prefill(e *simEngine) time.Duration {
	read := 0
	order := slices.Clone(e.running)
	slices.SortFunc(order, func(a, b *simJob) int {
		return cmp.Or(cmp.Compare(a.flight.urgency, b.flight.urgency), cmp.Compare(a.admitted, b.admitted))
	})
	for _, j := range order {
		n := min(j.left, e.cfg.chunkTokens-read)
		j.left -= n
		read += n
		if j.left == 0 {
			for _, p := range j.call.req.Prompt {
				e.cache[p.Hash] = true
			}
		}
	}
	return e.cfg.stepBase + time.Duration(len(e.running))*e.cfg.stepRunning + time.Duration(read)*e.cfg.stepRead
}

// decode generates a token for each request whose prompt has been read.
func (f *simFleet) decode(e *simEngine) {
	for _, j := range slices.Clone(e.running) {
		if j.left > 0 {
			continue
		}
		j.tokens++
		if j.tokens%e.cfg.tokensPerEvent != 0 {
			continue
		}
		f.event(j)
	}
}

// event passes an event of a stream on to the caller.
func (f *simFleet) event(j *simJob) {
	call := j.call
	j.events++
	if !j.started {
		j.started = true
		call.first = f.now - call.arrived
	} else {
		call.longest = max(call.longest, f.now-j.last)
	}
	j.last = f.now
	j.flight.RecordProgress(f.clock())
	if j.events < call.events {
		return
	}
	f.remove(j)
	j.flight.End(f.clock(), Served)
	c := &f.load.classes[call.class]
	if call.first <= c.target && call.longest <= c.gap {
		f.end(call, simInTime)
	} else {
		f.end(call, simLate)
	}
}
