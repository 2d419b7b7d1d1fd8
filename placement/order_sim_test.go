package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// This file plays loads that outlast the seconds in which servers leave: the rest are overloaded until the end.

const (
	// In any window, fewer than minUnservedCalls or at most maxUnserved of the calls of a class get nothing
	// while less urgent requests of more than sizeRatio times their size begin.
	minUnservedCalls = 10
	sizeRatio        = 2.0
	windowStep       = 100 * time.Millisecond
	// reactionTime is how long less urgent requests may begin after an overload that nobody could foresee: those that
	// servers have when it begins.
	reactionTime = 2 * time.Second
)

// classWindow is what a class got in a window.
type classWindow struct {
	calls, unserved int
	tokens          float64
}

// windowOf returns what a class got in a window.
func (f *simFleet) windowOf(class int, from time.Duration) classWindow {
	var w classWindow
	for _, c := range f.calls {
		if c.class != class || c.arrived < from || c.arrived >= from+window {
			continue
		}
		w.calls++
		w.tokens += float64(c.req.TokensIn)
		if c.first == 0 {
			w.unserved++
		}
	}
	return w
}

// largeBegins counts the requests that began in a window, are less urgent than a class and larger than a size.
func (f *simFleet) largeBegins(class int, from time.Duration, tokens float64) int {
	n := 0
	for _, b := range f.began {
		lessUrgent := f.load.classes[b.class].priority > f.load.classes[class].priority
		if lessUrgent && float64(b.tokens) > tokens && b.at >= from && b.at < from+window {
			n++
		}
	}
	return n
}

// changes returns when the load or the servers change, so that an overload may begin.
func (l *simLoad) changes() []time.Duration {
	var out []time.Duration
	for _, leave := range l.leaves {
		out = append(out, leave.at)
	}
	for _, b := range l.bursts {
		out = append(out, b.from)
	}
	return out
}

// isSudden reports whether an overload may begin in a window, or within reactionTime before it.
func (l *simLoad) isSudden(from time.Duration) bool {
	return slices.ContainsFunc(l.changes(), func(at time.Duration) bool { return at+reactionTime > from && at < from+window })
}

// disorder describes the first window after a time in which a class got too little while less urgent requests began.
func (f *simFleet) disorder(calm time.Duration) string {
	for from := calm; from+window <= f.load.length; from += windowStep {
		if f.load.isSudden(from) {
			continue
		}
		for i, c := range f.load.classes {
			w := f.windowOf(i, from)
			if w.unserved < minUnservedCalls || float64(w.unserved) <= maxUnserved*float64(w.calls) {
				continue
			}
			if n := f.largeBegins(i, from, sizeRatio*w.tokens/float64(w.calls)); n > 0 {
				return fmt.Sprintf("%s from %v: %d of %d got nothing, %d larger and less urgent ones began", c.name, from, w.unserved, w.calls, n)
			}
		}
	}
	return ""
}

// The classes of shrunkFleet.
const (
	queries = iota
	drafts
	reviews
)

// shrunkFleet is a load on servers of which 14 in 18 leave within the first seconds. All customers have the same priority.
func shrunkFleet(daemons, servers int) simLoad {
	size := float64(servers) / 18
	return simLoad{
		daemons: daemons, servers: servers, length: 30 * time.Second, queued: true,
		engine: simEngineConfig{
			slots: 64, queue: 134, stepBase: 4630 * time.Microsecond, stepRunning: 153 * time.Microsecond,
			stepRead: 26400 * time.Nanosecond, chunkTokens: 2048, tokensPerEvent: 3, memory: 480559,
		},
		classes: []simClass{
			queries: {
				name: "query", priority: 1, customerPriority: 1, perSec: 19 * size, shared: 350, own: 1110, subjects: 88, spread: 1, events: 57,
				target: 500 * time.Millisecond, gap: 250 * time.Millisecond, deadline: 15 * time.Second,
			},
			drafts: {
				name: "draft", priority: 2, customerPriority: 1, perSec: 12 * size, shared: 6300, own: 2890, subjects: 127, spread: 1, events: 17,
				target: 800 * time.Millisecond, gap: 400 * time.Millisecond, deadline: 6 * time.Second, repeatable: true,
			},
			reviews: {
				name: "review", priority: 3, customerPriority: 1, perSec: 17 * size, shared: 13300, own: 3720, subjects: 80, spread: 1, events: 40,
				target: 2500 * time.Millisecond, gap: time.Second, deadline: 12 * time.Second,
			},
		},
		leaves: leavesOf(servers),
	}
}

// leavesOf returns leaves of three in ten servers, four times.
func leavesOf(servers int) []simLeave {
	var out []simLeave
	for i := range 4 {
		n := (3*servers + 5) / 10
		servers -= n
		out = append(out, simLeave{at: time.Duration(1+2*i) * time.Second, servers: n})
	}
	return out
}

// calmAfter is when the last servers have left.
const calmAfter = 8 * time.Second

// burstOf returns a load with three times as many requests of a class as usual after the servers have left.
func burstOf(class int) simLoad {
	load := shrunkFleet(7, 18)
	load.bursts = []simBurst{{class: class, from: 9 * time.Second, to: 20 * time.Second, factor: 3}}
	return load
}

// lastingOverloads are loads that outlast the leaving of servers.
func lastingOverloads() map[string]simLoad {
	loads := map[string]simLoad{"2 daemons": shrunkFleet(2, 18), "7 daemons": shrunkFleet(7, 18), "40 daemons": shrunkFleet(40, 54)}
	loads["burst of drafts"] = burstOf(drafts)
	loads["burst of reviews"] = burstOf(reviews)
	few := shrunkFleet(3, 6)
	few.leaves = []simLeave{{at: time.Second, servers: 2}, {at: 3 * time.Second, servers: 2}}
	loads["few servers"] = few
	return loads
}

// TestNoClassIsRefusedWhileLessUrgentRequestsBegin guards against refusals that aren't ordered by urgency while an overload lasts.
func TestNoClassIsRefusedWhileLessUrgentRequestsBegin(t *testing.T) {
	t.Parallel()
	checkOrder(t, lastingOverloads())
}

// TestWhatServersHoldDoesNotBeginWhileMoreUrgentRequestsAreRefused guards against less urgent requests that wait at servers
// and begin while more urgent ones are refused.
func TestWhatServersHoldDoesNotBeginWhileMoreUrgentRequestsAreRefused(t *testing.T) {
	t.Parallel()
	gradual := shrunkFleet(7, 18)
	gradual.leaves = nil
	for i := range 15 {
		gradual.leaves = append(gradual.leaves, simLeave{at: time.Duration(500+500*i) * time.Millisecond, servers: 1})
	}
	checkOrder(t, map[string]simLoad{"burst of queries": burstOf(queries), "servers leave one by one": gradual})
}

// checkOrder plays loads and checks the order of the classes in each window.
func checkOrder(t *testing.T, loads map[string]simLoad) {
	for name, load := range loads {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(load, seed)
				f.run()
				t.Logf("servers: %+v, sent again: %d", f.counts, f.repeats)
				for i, c := range f.load.classes {
					t.Logf("%s: %+v", c.name, f.shares(i, calmAfter, f.load.length))
				}
				assert.Equal(t, f.disorder(calmAfter), "")
			})
		}
	}
}
