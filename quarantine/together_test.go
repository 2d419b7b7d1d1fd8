package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/backend"
)

// It guards against servers that crash together and end the service of a route.
func TestCrashesThatCameTogetherGiveWayToATrial(t *testing.T) {
	l, now := newTestList(), time.Now()
	r := Request{Subjects: []Subject{part("a", 1)}, Customer: "c"}
	crashes(l, r, oldSoftware, 0, crashesToWithhold, now)
	assert.Assert(t, !l.TryOnce(t.Context(), r, oldSoftware, now.Add(settleTime-time.Millisecond)))
	assert.Assert(t, l.TryOnce(t.Context(), r, oldSoftware, now.Add(settleTime)))
	assert.Assert(t, !l.TryOnce(t.Context(), r, oldSoftware, now.Add(settleTime+time.Second)), "second trial before the result of the first")
	l.Answered(r, oldSoftware, now.Add(settleTime+2*time.Second))
	assert.Assert(t, l.Permits(r, oldSoftware))
}

// It guards against trials that let requests under which every server crashes through again and again.
func TestSubjectThatCrashesServersStaysWithheld(t *testing.T) {
	l, now := newTestList(), time.Now()
	r := Request{Subjects: []Subject{part("a", 1)}, Customer: "c"}
	crashes(l, r, oldSoftware, 0, crashesToWithhold, now)
	var trials []time.Duration
	for after := time.Duration(0); after < time.Hour; after += time.Second {
		if at := now.Add(after); l.TryOnce(t.Context(), r, oldSoftware, at) {
			trials = append(trials, after)
			crashes(l, r, oldSoftware, 100+len(trials), 1, at)
		} else {
			l.Withheld(r, at)
		}
	}
	assert.Equal(t, len(trials), maxTrials+2, "%v", trials) // Two after blockTime each.
	assert.Assert(t, trials[1] >= settleTime+trialInterval && trials[2]-trials[1] > blockTime && trials[3]-trials[2] > blockTime, "%v", trials)
	assert.Assert(t, !l.Permits(r, oldSoftware))
}

// It guards against a trial that wasn't sent in the end and leaves a wrong block in force.
func TestTrialThatToldNothingIsMadeAgain(t *testing.T) {
	for _, crashesUnder := range [][]bool{{false, false, false}, {true, false, false}, {false, true, false}} {
		l, now := newTestList(), time.Now()
		r := Request{Subjects: []Subject{part("a", 1)}, Customer: "c"}
		crashes(l, r, oldSoftware, 0, crashesToWithhold, now)
		trials := 0
		for after := time.Duration(0); after < blockTime; after += time.Second {
			at := now.Add(after)
			if !l.TryOnce(t.Context(), r, oldSoftware, at) {
				l.Withheld(r, at)
				continue
			}
			if trials < len(crashesUnder) && crashesUnder[trials] {
				crashes(l, r, oldSoftware, 100+trials, 1, at)
			}
			trials++
		}
		assert.Equal(t, trials, maxTrials+maxInconclusive, "%v", crashesUnder)
	}
}

// It guards against blocks that outlast the last crash by more than their bound, whenever servers crash for other reasons.
func TestBlockFromOutsideCrashesEnds(t *testing.T) {
	const step = time.Second
	rapid.Check(t, func(t *rapid.T) {
		l, now := newTestList(), time.Now()
		r := Request{Subjects: []Subject{part("a", 1)}, Customer: "c"}
		server := 0
		crash := func(at time.Time) {
			server++
			l.Crashed(r, Crash{Server: backend.Instance{ID: fmt.Sprint("server-", server)}, Software: oldSoftware, Customer: "c", At: at})
		}
		for range rapid.IntRange(1, 40).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "pause")) * time.Millisecond)
			if l.Permits(r, oldSoftware) || l.TryOnce(t.Context(), r, oldSoftware, now) || rapid.IntRange(0, 3).Draw(t, "together") == 0 {
				crash(now)
			} else {
				l.Withheld(r, now)
			}
		}
		const bound = blockTime + trialInterval + step
		for end := now.Add(bound); !l.Permits(r, oldSoftware); now = now.Add(step) {
			if now.After(end) {
				t.Fatalf("still withheld %v after the last crash", bound)
			}
			if l.TryOnce(t.Context(), r, oldSoftware, now) {
				l.Answered(r, oldSoftware, now)
			} else {
				l.Withheld(r, now)
			}
		}
	})
}
