package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exchange tells each tracker the loads of the others.
func exchange(at time.Time, trackers []*Tracker) {
	for i, from := range trackers {
		m := &loads{Loads: from.own()}
		for j, to := range trackers {
			if i != j {
				to.hear(fmt.Sprint("daemon-", i), m, at)
			}
		}
	}
}

// TestDaemonsTogetherSpreadABurst: seven daemons place a burst of requests with
// nothing in common. Each alone would be even; the sum has to be.
func TestDaemonsTogetherSpreadABurst(t *testing.T) {
	const daemons, pool, requests = 7, 10, 70
	all := servers(pool)
	var trackers []*Tracker
	for i := range daemons {
		trackers = append(trackers, newTracker(uint64(i)))
	}
	counts := map[string]int{}
	for i := range requests {
		w := Want{Prompt: []Part{NewPart(fmt.Sprint("own-", i), 4000)}, TokensIn: 4000, Domain: "d1"}
		counts[trackers[i%daemons].Place(now, all, w).Server.ID]++
		exchange(now, trackers)
	}
	for id, n := range counts {
		assert.Assert(t, n <= 2*requests/pool, "%s has %d of %d", id, n, requests)
	}
}

func TestDaemonsLearnWhoHoldsAPart(t *testing.T) {
	all := servers(10)
	a, b := newTracker(1), newTracker(2)
	first := a.Place(now, all[:1], long("archive", 0))
	exchange(now, []*Tracker{a, b})
	first.End(now, Served)
	exchange(now, []*Tracker{a, b})
	assert.Equal(t, b.Place(now, all, long("archive", 1)).Server.ID, first.Server.ID)
}

func TestLoadsOfSilentDaemonsExpire(t *testing.T) {
	all := servers(2)
	a, b := newTracker(1), newTracker(2)
	for i := range 20 {
		a.Place(now, all[:1], chat(i))
	}
	exchange(now, []*Tracker{a, b})
	loaded := all[0].Life()
	assert.Equal(t, b.remote[loaded].running, 20.0)
	b.hear("another", &loads{}, now.Add(2*loadAge))
	assert.Equal(t, b.remote[loaded].running, 0.0)
}

func TestALoadIsToldOnceItIsGone(t *testing.T) {
	all := servers(1)
	a, b := newTracker(1), newTracker(2)
	f := a.Place(now, all, chat(0))
	exchange(now, []*Tracker{a, b})
	f.End(now, Served)
	exchange(now, []*Tracker{a, b})
	assert.Equal(t, b.remote[all[0].Life()].running, 0.0)
}
