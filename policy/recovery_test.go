package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// recoveryPool returns a pool with two idle servers, a class with strict targets
// and a class with lenient ones.
func recoveryPool(maxSlots int) *Pool {
	p := NewPool(PoolSpec{
		Limit: 100, Slots: 4, MaxSlots: maxSlots,
		Classes: []ClassSpec{
			{Name: "strict", Tier: 0, Target: chatTarget, Starvation: time.Minute},
			{Name: "lenient", Tier: 4, Target: Target{FirstToken: time.Minute, TokenGap: time.Second, Promise: 0.9}, Starvation: time.Minute},
		},
	})
	p.SetServers([]ServerSpec{{Name: "s1"}, {Name: "s2"}})
	return p
}

func grantOne(t *testing.T, p *Pool, now time.Time, class string, id uint64) Pick {
	t.Helper()
	v := p.Reserve(now, Reservation{Key: Key{Gateway: "g", ID: id}, Class: class, Customer: "c", Cost: 10, Arrived: now, Deadline: now.Add(time.Second)})
	assert.Equal(t, v.Refusal, NotRefused)
	pick, ok := p.Next(now)
	assert.Assert(t, ok)
	return pick
}

// failServer reports failed requests of a server until the server is isolated.
func failServer(p *Pool, now time.Time, name string) {
	for range maxConsecutiveFailures {
		p.Observe(now, FinishedRequest{Server: name, Class: "lenient", Observation: Observation{Failed: true}})
	}
}

func TestIsolatedServerIsProbedWhileOthersAreFree(t *testing.T) {
	p := recoveryPool(4)
	failServer(p, epoch, "s1")
	assert.Equal(t, grantOne(t, p, epoch, "lenient", 1).Server, "s2")
	due := epoch.Add(minProbeInterval)
	assert.Equal(t, grantOne(t, p, due, "strict", 2).Server, "s2", "the highest tier must avoid a probing server")
	assert.Equal(t, grantOne(t, p, due, "lenient", 3).Server, "s1")
	assert.Equal(t, grantOne(t, p, due, "lenient", 4).Server, "s2", "a second probe must wait for the probe interval")
}

func TestSlotsLeaveRoomForTheWait(t *testing.T) {
	s := NewSlots(2, 64)
	most := 0
	for i := range 3000 {
		s.RecordUsed(s.Limit())
		gap := time.Duration(s.Limit()) * 5 * time.Millisecond
		s.Observe(epoch.Add(time.Duration(i)*200*time.Millisecond), Observation{FirstToken: time.Second, TokenGap: gap, Target: chatTarget})
		most = max(most, s.Limit())
	}
	// 15 slots use the whole target of 75 ms per token.
	assert.Assert(t, most < 15, "%d", most)
}

func TestLenientClassDoesNotWidenABatchBeyondTheStrictestTarget(t *testing.T) {
	p := recoveryPool(64)
	now := epoch
	for range 200 {
		s := p.Server("s1")
		s.Slots.RecordUsed(s.Slots.Limit())
		gap := time.Duration(s.Slots.Limit()) * 5 * time.Millisecond
		p.Observe(now, FinishedRequest{Server: "s1", Class: "lenient", Cost: 10, SlotTime: time.Second, Observation: Observation{FirstToken: time.Second, TokenGap: gap}})
		now = now.Add(time.Second)
	}
	limit := p.Server("s1").Slots.Limit()
	assert.Assert(t, limit <= 15, "%d slots take %d ms per token", limit, 5*limit)
}
