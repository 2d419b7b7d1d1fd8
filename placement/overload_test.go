package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The classes of priceList.
const (
	questions = iota
	checks
	digests
)

// priceList is a load of three classes on servers with few slots. Questions are the most urgent.
// Digests have long prompts and are the least urgent; for nine seconds there are three times as
// many as usual, which need more slots than there are. After that, questions increase as much.
func priceList() simLoad {
	return simLoad{
		servers: 112, length: 22 * time.Second,
		engine: simEngineConfig{
			slots: 12, queue: 25, stepBase: 3740 * time.Microsecond, stepRunning: 81 * time.Microsecond,
			stepRead: 12200 * time.Nanosecond, chunkTokens: 2048, tokensPerEvent: 9, memory: 452833,
		},
		classes: []simClass{
			questions: {
				name: "question", priority: 0, perSec: 126, shared: 198, own: 628, subjects: 1131, spread: 0.7, events: 32,
				target: 300 * time.Millisecond, gap: 250 * time.Millisecond, deadline: 10 * time.Second,
			},
			checks: {
				name: "check", priority: 1, perSec: 292, shared: 568, own: 1800, subjects: 1160, spread: 1, events: 3,
				target: 400 * time.Millisecond, gap: 400 * time.Millisecond, deadline: 2500 * time.Millisecond, repeatable: true,
			},
			digests: {
				name: "digest", priority: 2, perSec: 233, shared: 5382, own: 6610, subjects: 1297, spread: 1, events: 42,
				target: 1500 * time.Millisecond, gap: time.Second, deadline: 12 * time.Second, repeatable: true,
			},
		},
		bursts: []simBurst{
			{class: digests, from: 500 * time.Millisecond, to: 9500 * time.Millisecond, factor: 3.08},
			{class: questions, from: 11 * time.Second, to: 16 * time.Second, factor: 2.76},
		},
	}
}

const (
	// minTopInTime is the share of the most urgent class that meets its latency objective.
	minTopInTime = 0.95
	// window and maxUnserved bound the share of a class that gets no answer while less urgent
	// requests begin.
	window      = 5 * time.Second
	maxUnserved = 1.0 / 12
	// settled is when the load has been back to normal for some seconds.
	settled = 20 * time.Second
)

// It guards against a burst of a less urgent class that takes all slots and fills the queues of the servers.
func TestUrgentClassesAreServedWhileALessUrgentOneOverloadsTheServers(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{7, 74} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			t.Parallel()
			load := priceList()
			load.daemons = daemons
			checkUrgentServed(t, load)
		})
	}
}

// checkUrgentServed plays a load of the classes of priceList and checks what callers get.
func checkUrgentServed(t *testing.T, load simLoad) {
	f := newSimFleet(load, 1)
	f.run()
	t.Logf("servers: %+v, sent again: %d", f.counts, f.repeats)
	for i, c := range f.load.classes {
		t.Logf("%s: %+v", c.name, f.shares(i, 0, f.load.length))
	}
	assert.Assert(t, f.shares(questions, 0, f.load.length).inTime >= minTopInTime)
	for _, class := range []int{questions, checks} {
		for from := time.Duration(0); from+window <= f.load.length; from += window / 2 {
			s := f.shares(class, from, from+window)
			assert.Assert(t, s.refused+s.failed <= maxUnserved, "%s from %v: %+v", f.load.classes[class].name, from, s)
		}
	}
	for i, c := range f.load.classes {
		s := f.shares(i, settled, f.load.length)
		assert.Assert(t, s.inTime >= minTopInTime, "%s after the bursts: %+v", c.name, s)
	}
	assert.Assert(t, f.shares(digests, 0, f.load.length).served() > 0.5, "the servers could serve most digests")
}
