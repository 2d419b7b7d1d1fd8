package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var chatTarget = Target{FirstToken: 1600 * time.Millisecond, TokenGap: 75 * time.Millisecond, Promise: 0.95}

// runServer reports finished requests of a fully used server whose token gap grows
// in proportion to its slots.
func runServer(s *Slots, gapPerSlot time.Duration, requests int) {
	now := epoch
	for range requests {
		s.RecordUsed(s.Limit())
		gap := time.Duration(s.Limit()) * gapPerSlot
		s.Observe(now, Observation{FirstToken: time.Second, TokenGap: gap, Target: chatTarget})
		now = now.Add(200 * time.Millisecond)
	}
}

func TestSlotsSettleAroundTheTarget(t *testing.T) {
	for _, initial := range []int{2, 60} {
		s := NewSlots(initial, 64)
		// At most 15 slots meet the target of 75 ms per token.
		runServer(&s, 5*time.Millisecond, 3000)
		assert.Assert(t, s.Limit() >= 11 && s.Limit() <= 16, "from %d to %d", initial, s.Limit())
	}
}

func TestUnusedSlotsDoNotGrow(t *testing.T) {
	s := NewSlots(4, 64)
	for i := range 100 {
		s.RecordUsed(2)
		s.Observe(epoch.Add(time.Duration(i)*time.Second), Observation{Target: chatTarget})
	}
	assert.Equal(t, s.Limit(), 4)
}

func TestStragglerIsProbedAndReturnsGradually(t *testing.T) {
	var h Health
	now := epoch
	slow, sound := Observation{TokenGap: 400 * time.Millisecond}, Observation{TokenGap: 40 * time.Millisecond}
	reference := 40 * time.Millisecond
	for range minSpeedSamples {
		h.Observe(now, slow, reference)
	}
	assert.Equal(t, h.State(), Probing)
	assert.Equal(t, h.LimitSlots(now, 8), 0)
	now = now.Add(minProbeInterval)
	assert.Equal(t, h.LimitSlots(now, 8), 1)
	h.RecordProbe(now)
	assert.Equal(t, h.LimitSlots(now, 8), 0)
	for range minGoodProbes {
		h.Observe(now, sound, reference)
	}
	assert.Equal(t, h.State(), Returning)
	for width := 1; width < 8; width++ {
		assert.Equal(t, h.LimitSlots(now, 8), width)
		h.Observe(now, sound, reference)
		h.CompleteReturn(8)
	}
	assert.Equal(t, h.State(), Healthy)
}

func TestSilentServerIsIsolatedWithGrowingPauses(t *testing.T) {
	var h Health
	now := epoch
	for range maxConsecutiveFailures {
		h.Observe(now, Observation{Failed: true}, 0)
	}
	first := h.probeInterval
	h.Observe(now, Observation{Failed: true}, 0)
	assert.Equal(t, h.probeInterval, 2*first)
	for range 20 {
		h.Observe(now, Observation{Failed: true}, 0)
	}
	assert.Equal(t, h.probeInterval, maxProbeInterval)
}

func TestReferenceIsTheMedianOfEnoughServers(t *testing.T) {
	assert.Equal(t, MedianTokenGap([]time.Duration{5, 900, 7}, 75), time.Duration(7))
	assert.Equal(t, MedianTokenGap([]time.Duration{5, 900}, 75), time.Duration(75))
}

func TestLengthsByClassAndCustomer(t *testing.T) {
	l := NewLengths()
	assert.Equal(t, l.Quantile("chat", "a", 0.5), uint32(defaultLength))
	for i := range 200 {
		l.Observe("chat", "short", 100)
		l.Observe("chat", "long", uint32(2000+i))
	}
	short, long := l.Quantile("chat", "short", 0.5), l.Quantile("chat", "long", 0.5)
	// The estimate is the upper bound of a histogram bucket.
	assert.Assert(t, short >= 100 && float64(short) <= 100*bucketGrowth, "%d", short)
	assert.Assert(t, long >= 2000 && float64(long) <= 2200*bucketGrowth, "%d", long)
	assert.Equal(t, l.Quantile("chat", "unknown", 0.25), short)
}

func TestLengthsForgetOldTraffic(t *testing.T) {
	l := NewLengths()
	for range 5000 {
		l.Observe("chat", "a", 4000)
	}
	for range 4 * maxLengthCount {
		l.Observe("chat", "a", 50)
	}
	assert.Assert(t, l.Quantile("chat", "a", 0.9) < 100)
}

func TestRetryBudgetIsAShareOfFirstTries(t *testing.T) {
	var b RetryBudget
	retries := 0
	for range 1000 {
		b.FirstTry(0.1)
		if b.Allow() {
			retries++
		}
	}
	assert.Assert(t, retries >= 99 && retries <= 100, "%d", retries)
	for range 1000 {
		b.FirstTry(0.1)
	}
	burst := 0
	for b.Allow() {
		burst++
	}
	assert.Equal(t, burst, int(maxRetryTokens))
}

func TestBackoffIsBounded(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	for attempt := range 100 {
		d := Backoff(attempt, rnd)
		assert.Assert(t, d > 0 && d <= backoffMax+time.Millisecond)
	}
}

func skipNone(string, string) bool { return false }

func TestChooseIsDistinctAndFollowsThePrefix(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	a := NewAssignment(names("s", 20), names("d", 7))
	for prefix := uint64(1); prefix < 50; prefix++ {
		got := Choose(a, prefix, 3, skipNone, rnd)
		assert.Equal(t, len(got), 3)
		assert.Equal(t, got[0], a.Daemons[a.PreferredServer(prefix)])
		sorted := slices.Clone(got)
		slices.Sort(sorted)
		assert.Equal(t, len(slices.Compact(sorted)), 3)
	}
	assert.Equal(t, len(Choose(a, 0, 99, skipNone, rnd)), len(a.Schedulers))
	assert.Equal(t, len(Choose(Assignment{}, 1, 3, skipNone, rnd)), 0)
}

func TestChooseLeavesOutWhatIsSkipped(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	a := NewAssignment(names("s", 20), names("d", 7))
	asked := Choose(a, 5, 3, skipNone, rnd)
	more := Choose(a, 5, 99, func(scheduler, _ string) bool { return slices.Contains(asked, scheduler) }, rnd)
	assert.Equal(t, len(more), len(a.Schedulers)-3)
	for _, name := range more {
		assert.Assert(t, !slices.Contains(asked, name))
	}
	failed := a.Servers[0]
	for range 100 {
		only := Choose(a, 0, 1, func(_, server string) bool { return server != failed }, rnd)
		assert.DeepEqual(t, only, []string{a.Daemons[0]})
	}
}

func TestWaitEstimateSubtractsTheAllowance(t *testing.T) {
	l := NewLoad()
	for range minLoadSamples {
		l.Finished(2*time.Second, 100)
		l.RecordLeft(true)
	}
	l.runShare = 1
	assert.Assert(t, l.Trusted())
	// 1,000 tokens ahead take 20 s of slot time, and a request takes 2 s.
	want := 22.0 / (10 * (1 - allowanceShare))
	got := l.Wait(1000, 10).Seconds()
	assert.Assert(t, got > 0.99*want && got < 1.01*want, "%v, expected %v", got, want)
	assert.Equal(t, RetryAfter(3*time.Second, time.Second), 2*time.Second)
	assert.Equal(t, RetryAfter(0, time.Second), minRetryAfter)
}

func TestRequestThatWouldMissItsFirstTokenIsRefused(t *testing.T) {
	p := NewPool(PoolSpec{Limit: 10, Slots: 1, MaxSlots: 1, Classes: []ClassSpec{
		{Name: "class-0", Target: chatTarget, Starvation: time.Minute, RefuseLate: true},
	}})
	p.SetServers(serverSpecs(1))
	for range minFirstTokenSamples {
		p.Observe(epoch, FinishedRequest{Server: "s-000", Class: "class-0", Cost: 100, SlotTime: time.Second,
			Observation: Observation{FirstToken: 600 * time.Millisecond, TokenGap: 40 * time.Millisecond}})
	}
	r := newReservation(1, 0, "c", 100)
	r.Deadline = epoch.Add(chatTarget.FirstToken)
	assert.Equal(t, p.Reserve(epoch, r).Refusal, NotRefused)
	p.Expire(epoch.Add(990 * time.Millisecond))
	assert.Equal(t, p.Queue().Len(), 1)
	p.Expire(epoch.Add(1010 * time.Millisecond))
	assert.Equal(t, p.TakeWithdrawn()[0].Refusal, RefusedDeadline)
}

// expiresWithin reports whether a request with a first-token target of 1.6 s is
// refused while it waits for the given time, at a server with the given time to
// the first token.
func expiresWithin(firstToken, waited time.Duration) bool {
	p := NewPool(PoolSpec{Limit: 10, Slots: 1, MaxSlots: 1, Classes: []ClassSpec{
		{Name: "class-0", Target: chatTarget, Starvation: time.Minute, RefuseLate: true},
	}})
	p.SetServers(serverSpecs(1))
	for range minFirstTokenSamples {
		p.Observe(epoch, FinishedRequest{Server: "s-000", Class: "class-0", Cost: 100, SlotTime: time.Second,
			Observation: Observation{FirstToken: firstToken, TokenGap: 40 * time.Millisecond}})
	}
	r := newReservation(1, 0, "c", 100)
	r.Deadline = epoch.Add(chatTarget.FirstToken)
	p.Reserve(epoch, r)
	p.Expire(epoch.Add(waited))
	return p.Queue().Len() == 0
}

func TestLongFirstTokenIsPredicted(t *testing.T) {
	assert.Assert(t, !expiresWithin(1200*time.Millisecond, 390*time.Millisecond))
	assert.Assert(t, expiresWithin(1200*time.Millisecond, 410*time.Millisecond))
	assert.Assert(t, !expiresWithin(10*time.Second, 300*time.Millisecond), "a slow server must not cause all requests of the class to be refused")
}

// No request may be granted a slot after the starvation bound of its class, neither
// in tier order nor by the starvation allowance: both requests must be refused.
func TestAllowanceServesNoRequestBeyondItsBound(t *testing.T) {
	o := newOracle(1, 100)
	for tier := range 2 {
		o.nextID++
		r := newReservation(o.nextID, tier, "c", 100)
		r.Arrived, r.Deadline = epoch, epoch.Add(time.Hour)
		assert.Equal(t, o.pool.Reserve(epoch, r).Refusal, NotRefused)
	}
	now := epoch.Add(oracleStarvation)
	_, ok := o.pool.Next(now)
	assert.Assert(t, !ok)
	assert.Equal(t, len(o.pool.TakeWithdrawn()), 2)
}
