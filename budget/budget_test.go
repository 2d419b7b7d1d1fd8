package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var limit = Limit{Ratio: 0.2, Allowance: 54, Window: 10 * time.Second}

// TestNoWindowExceedsTheLimit runs several daemons that do not communicate and
// checks that no sliding window holds more retries than the limit allows for
// all of them together.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		start := time.Now()
		var budgets []*Budget
		for range daemons {
			b := New(limit, func() int { return daemons })
			b.start = start
			budgets = append(budgets, b)
		}
		type event struct {
			at    time.Duration
			retry bool
		}
		var events []event
		at := time.Duration(0)
		for range rapid.IntRange(50, 600).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 80).Draw(t, "pause")) * time.Millisecond
			b := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			now := start.Add(at)
			if rapid.IntRange(0, 9).Draw(t, "kind") < 3 {
				b.RecordRequest("s", now)
				events = append(events, event{at, false})
				continue
			}
			if b.TryRetry("s", now) {
				events = append(events, event{at, true})
			}
		}
		for i := range events {
			requests, retries := 0.0, 0.0
			for _, e := range events[i:] {
				if e.at-events[i].at > limit.Window {
					break
				}
				if e.retry {
					retries++
				}
			}
			// A sliding window overlaps two windows of a daemon, so the
			// requests of the preceding window count as well.
			for _, e := range events {
				if e.at > events[i].at-limit.Window && e.at <= events[i].at+limit.Window && !e.retry {
					requests++
				}
			}
			if retries > limit.Ratio*requests+limit.Allowance {
				t.Fatalf("%v retries for %v requests in the window from %v on", retries, requests, events[i].at)
			}
		}
	})
}

// TestQuietServiceKeepsItsPartOfTheAllowance checks that a service without
// requests may use the daemon's share of the allowance, once per window.
func TestQuietServiceKeepsItsPartOfTheAllowance(t *testing.T) {
	b := New(limit, func() int { return 6 })
	now := time.Now()
	allowed := 0
	for b.TryRetry("s", now) {
		allowed++
	}
	assert.Equal(t, allowed, int(safetyFactor*limit.Allowance/6))
	assert.Assert(t, !b.TryRetry("s", now.Add(limit.Window/2)))
	assert.Assert(t, b.TryRetry("s", now.Add(limit.Window+time.Second)))
	assert.Assert(t, b.TryRetry("other", now), "budgets are per service")
}

// TestDaemonThatLosesSightOfOthersKeepsItsPart checks that a daemon that loses
// contact with the others does not take their shares of the allowance.
func TestDaemonThatLosesSightOfOthersKeepsItsPart(t *testing.T) {
	live := 7
	b := New(limit, func() int { return live })
	now := time.Now()
	assert.Assert(t, b.TryRetry("s", now))
	live = 1
	allowed := 1
	for b.TryRetry("s", now.Add(time.Second)) {
		allowed++
	}
	assert.Equal(t, allowed, int(safetyFactor*limit.Allowance/7))
}

func TestLimitChangesWhileRunning(t *testing.T) {
	b := New(limit, func() int { return 1 })
	b.SetLimit(Limit{Ratio: 0, Allowance: 0, Window: time.Second})
	assert.Assert(t, !b.TryRetry("s", time.Now()))
}
