package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// archiveRequest returns a long request on one of seven shared parts, with the
// maximum wait of an urgency.
func archiveRequest(i int, urgency int) Request {
	req := long(fmt.Sprint("archive-", i%7), i)
	req.MaxWait = MaxWait(1500*time.Millisecond, urgency)
	req.Memory = 600000
	return req
}

func TestUrgentRequestsHaveLongerMaxWait(t *testing.T) {
	const target = 500 * time.Millisecond
	assert.Equal(t, MaxWait(target, 0), time.Duration(0), "no limit")
	for urgency := 1; urgency < 9; urgency++ {
		assert.Assert(t, MaxWait(target, urgency) > MaxWait(target, urgency+1))
	}
}

// TestOverloadRefusesTheLeastUrgentFirst places a burst that exceeds what the
// servers can read in time. Refusals must hit the least urgent class first,
// never the most urgent one, and their retry delays must differ, so that
// callers do not return at the same time.
func TestOverloadRefusesTheLeastUrgentFirst(t *testing.T) {
	tracker := newTracker(1)
	all := servers(4)
	refusedAt := map[int]int{}
	retries := map[time.Duration]bool{}
	const requests = 300
	for i := range requests {
		urgency := i % 3
		_, refusal := tracker.Place(now, all, archiveRequest(i, urgency))
		if refusal == nil {
			continue
		}
		refusedAt[urgency]++
		retries[refusal.RetryAfter] = true
		assert.Assert(t, refusal.RetryAfter >= minRetryAfter && refusal.RetryAfter <= maxRetryAfter)
	}
	assert.Equal(t, refusedAt[0], 0)
	assert.Assert(t, refusedAt[2] > refusedAt[1], "%v", refusedAt)
	assert.Assert(t, len(retries) > 10, "callers would retry at the same time: %v", retries)
}

// TestFleetRefusesTheLeastUrgentFirst places such a burst through several
// daemons that exchange loads every few requests. The order of refusals must
// hold across all daemons.
func TestFleetRefusesTheLeastUrgentFirst(t *testing.T) {
	const requests, shareEvery = 600, 10
	for _, size := range fleetSizes {
		d := newTestFleet(size)
		all := servers(6)
		refusedAt := map[int]int{}
		firstAt := map[int]int{}
		rnd := rand.New(rand.NewPCG(uint64(size), 0))
		for i := range requests {
			urgency := rnd.IntN(3)
			if _, refusal := d.tracker(i%size).Place(now, all, archiveRequest(i, urgency)); refusal != nil {
				if refusedAt[urgency] == 0 {
					firstAt[urgency] = i
				}
				refusedAt[urgency]++
			}
			if i%shareEvery == 0 {
				d.round(now)
			}
		}
		assert.Equal(t, refusedAt[0], 0, "%d daemons", size)
		assert.Assert(t, refusedAt[2] > refusedAt[1], "%d daemons: %v", size, refusedAt)
		assert.Assert(t, refusedAt[1] == 0 || firstAt[2] < firstAt[1], "%d daemons: first refused at %v", size, firstAt)
	}
}

// TestSizeDoesNotDecide checks that a request is refused only for the backlog
// ahead of it, never for its own size.
func TestSizeDoesNotDecide(t *testing.T) {
	tracker := newTracker(1)
	huge := Request{
		Prompt: []Part{NewPart("own", 90000)}, TokensIn: 90000, TokensOut: 400, Memory: 600000,
		MaxWait: MaxWait(1500*time.Millisecond, 2),
	}
	f, refusal := tracker.Place(now, servers(4), huge)
	assert.Assert(t, refusal == nil)
	assert.Assert(t, f != nil)
}

// TestMemoryOfAServerIsNotOverfilled guards against placing more requests than
// fit into a server's memory, which makes the server preempt running requests.
func TestMemoryOfAServerIsNotOverfilled(t *testing.T) {
	tracker := newTracker(1)
	all := servers(1)
	used := 0
	for i := range 200 {
		req := archiveRequest(i, 2)
		f, refusal := tracker.Place(now, all, req)
		if refusal != nil {
			continue
		}
		f.RecordProgress(now) // Keeps the backlog empty, so that only memory limits.
		used += req.TokensIn + req.TokensOut
	}
	assert.Assert(t, used <= 600000, "%d tokens", used)
	assert.Assert(t, used > 300000, "%d tokens", used)
}

func TestRefusalsEndWithTheBacklog(t *testing.T) {
	tracker := newTracker(1)
	all := servers(2)
	var inFlight []*InFlight
	for i := range 200 {
		if f, refusal := tracker.Place(now, all, archiveRequest(i, 2)); refusal == nil {
			inFlight = append(inFlight, f)
		}
	}
	_, refusal := tracker.Place(now, all, archiveRequest(201, 2))
	assert.Assert(t, refusal != nil)
	for _, f := range inFlight {
		f.RecordProgress(now)
		f.End(now, Served)
	}
	_, refusal = tracker.Place(now, all, archiveRequest(202, 2))
	assert.Assert(t, refusal == nil)
}

func TestPrefillRateFollowsObservations(t *testing.T) {
	var p rateEstimate
	assert.Equal(t, p.orDefault(30), 30.0)
	for range 50 {
		p.observe(40000, time.Second)
	}
	assert.Assert(t, p.tokensPerMs > 39 && p.tokensPerMs < 41, "%v", p.tokensPerMs)
	p.observe(100, time.Second) // Less than minSampleTokens.
	assert.Assert(t, p.tokensPerMs > 39)
}

// TestUrgentRequestsAreNotRefusedForTheBacklogOfLessUrgentOnes guards against refusing the urgent requests of a customer first because their objective is shorter.
func TestUrgentRequestsAreNotRefusedForTheBacklogOfLessUrgentOnes(t *testing.T) {
	const urgent, lessUrgent, priority = 3, 5, 1
	tracker := newTracker(1)
	all := servers(1)
	archive := func(i int) Request {
		req := archiveRequest(i, priority)
		req.Urgency = lessUrgent
		return req
	}
	chat := func(i int) Request {
		return Request{
			Prompt: []Part{NewPart(fmt.Sprint("session-", i), 1000)}, TokensIn: 1000, TokensOut: 100, Urgency: urgent,
			MaxWait: MaxWait(300*time.Millisecond, priority),
		}
	}
	for i := 0; ; i++ {
		if _, refusal := tracker.Place(now, all, archive(i)); refusal != nil {
			break
		}
	}
	accepted := 0
	for ; accepted < 1000; accepted++ {
		if _, refusal := tracker.Place(now, all, chat(accepted)); refusal != nil {
			break
		}
	}
	assert.Assert(t, accepted > 0, "refused behind less urgent requests")
	assert.Assert(t, accepted < 1000, "accepted behind any number of requests as urgent")
}
