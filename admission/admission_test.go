package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func entry(urgency int, over bool, startBy time.Duration) *Entry {
	return &Entry{Urgency: urgency, OverShare: over, StartBy: start.Add(startBy), Bytes: 10}
}

func TestMostUrgentThenWithinSharesThenEarliest(t *testing.T) {
	var q Queue
	want := []*Entry{entry(0, true, 9*time.Second), entry(1, false, time.Second), entry(1, false, 2*time.Second), entry(1, true, time.Second), entry(2, false, 0)}
	limits := Limits{Requests: 10, Bytes: 1000}
	for _, i := range []int{3, 0, 4, 2, 1} {
		assert.Equal(t, len(q.Push(want[i], limits)), 0)
	}
	assert.Equal(t, q.Ahead(entry(1, false, 3*time.Second)), 3)
	for _, e := range want {
		assert.Assert(t, q.Head() == e)
		q.Remove(e)
	}
	assert.Assert(t, q.Head() == nil && q.bytes == 0)
}

func TestFullQueueLosesTheLast(t *testing.T) {
	var q Queue
	limits := Limits{Requests: 2, Bytes: 25}
	last := entry(2, false, time.Second)
	q.Push(last, limits)
	q.Push(entry(1, false, time.Second), limits)
	removed := q.Push(entry(0, false, time.Second), limits)
	assert.Assert(t, len(removed) == 1 && removed[0] == last)
	assert.Equal(t, len(q.TakeLate(start.Add(2*time.Second))), 2)
	large := &Entry{StartBy: start.Add(time.Second), Bytes: 26}
	assert.Assert(t, q.Push(large, limits)[0] == large)
}

func TestOnlyRequestsThatCanStartInTimeWait(t *testing.T) {
	p := Pace{Interval: 10 * time.Millisecond, Share: 0.5}
	assert.Assert(t, p.MayStart(start, entry(1, false, 100*time.Millisecond), 4))
	assert.Assert(t, !p.MayStart(start, entry(1, false, 100*time.Millisecond), 5))
	assert.Assert(t, !Pace{Interval: time.Millisecond}.MayStart(start, entry(1, false, time.Hour), 0))
}

// wait lets a request wait in the background and returns its outcome when it has one.
func wait(ctx context.Context, w *Waiters, urgency int, startBy time.Duration) <-chan Outcome {
	out := make(chan Outcome, 1)
	e := &Entry{Urgency: urgency, StartBy: time.Now().Add(startBy)}
	go func() { out <- w.Wait(ctx, "s", e, Pace{Interval: 10 * time.Millisecond, Share: 1}) }()
	synctest.Wait()
	return out
}

func TestWaitersTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWaiters(Limits{Requests: 3, Bytes: 1000}, metrics.NewRegistry())
		ctx, leave := context.WithCancel(t.Context())
		gone := wait(ctx, w, 1, time.Second)
		second := wait(t.Context(), w, 2, time.Second)
		dropped := wait(t.Context(), w, 3, time.Second)
		first := wait(t.Context(), w, 0, time.Second)
		assert.Equal(t, <-dropped, Full)
		assert.Assert(t, w.Precede("s", entry(3, false, 0)) && !w.Precede("other", entry(3, false, 0)))
		leave()
		assert.Equal(t, <-gone, Gone)
		assert.Equal(t, w.Status()[0].Requests, 2)
		time.Sleep(11 * time.Millisecond)
		assert.Equal(t, <-first, Turn)
		assert.Equal(t, len(second), 0, "one turn at a time")
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, <-second, Turn)
		assert.Equal(t, len(w.Status()), 0)
		assert.Equal(t, <-wait(t.Context(), w, 0, time.Millisecond), Late)
	})
}
