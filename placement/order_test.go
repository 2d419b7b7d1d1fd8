package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/fairshare"
	"github.com/jacinththread/jacinththread/route"
)

// drawClasses draws the classes of a service, the most urgent first. All have a longest wait.
func drawClasses(t *rapid.T) []route.Class {
	var out []route.Class
	for u := range rapid.IntRange(2, route.MaxUrgency).Draw(t, "classes") {
		out = append(out, route.Class{
			Urgency: u, Priority: rapid.IntRange(1, 3).Draw(t, "priority"), Tight: rapid.Bool().Draw(t, "tight"),
			Target: time.Duration(rapid.IntRange(100, 5000).Draw(t, "target")) * time.Millisecond,
		})
	}
	return out
}

// requestOf returns a request of a class.
func requestOf(classes []route.Class, i, tokens int) Request {
	c := classes[i]
	return Request{
		Urgency: c.Urgency, Classes: classes, Tight: c.Tight, Target: c.Target, MaxWait: MaxWait(c.Target, c.Priority),
		Memory: 100000, TokensIn: tokens, Prompt: []Part{NewPart("own", tokens)}, Service: "s",
	}
}

// drawLoad draws the load of all daemons on a server.
func drawLoad(t *rapid.T, s string) serverLoad {
	var tokens, slots, memory byUrgency
	for i := range tokens {
		slots[i] = int32(rapid.IntRange(0, 6).Draw(t, "requests"))
		tokens[i] = slots[i] * int32(rapid.IntRange(0, 9000).Draw(t, "unread tokens"))
		memory[i] = slots[i] * int32(rapid.IntRange(1, 9000).Draw(t, "memory"))
	}
	l := serverLoad{Server: s, Running: int32(slots.total()), RunningByUrgency: slots.encode()}
	l.setTokens(&tokens)
	l.setMemory(&memory)
	return l
}

// acceptedAnywhere reports whether a server accepts a request by its backlog and memory.
func acceptedAnywhere(candidates []Candidate, req *Request) bool {
	for i := range candidates {
		if candidates[i].accepts(req) {
			return true
		}
	}
	return false
}

// TestNoRequestPassesWhereAMoreUrgentAndSmallerOneIsRefused guards against tests of servers that aren't ordered by urgency.
func TestNoRequestPassesWhereAMoreUrgentAndSmallerOneIsRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tracker := newTracker(1)
		all := servers(rapid.IntRange(1, 8).Draw(rt, "servers"))
		var loads []serverLoad
		for _, s := range all {
			s.Slots = 24
			loads = append(loads, drawLoad(rt, s.ID))
		}
		tracker.receiveLoads("other", &loadsMessage{Loads: loads}, now)
		classes := drawClasses(rt)
		less := rapid.IntRange(1, len(classes)-1).Draw(rt, "less urgent")
		more := rapid.IntRange(0, less-1).Draw(rt, "more urgent")
		tokens := rapid.IntRange(1, 20000).Draw(rt, "tokens")
		urgent, other := requestOf(classes, more, tokens), requestOf(classes, less, 2*tokens+1)
		forUrgent, forOther := tracker.candidates(now, all, urgent), tracker.candidates(now, all, other)
		assert.Assert(rt, acceptedAnywhere(forUrgent, &urgent) || !acceptedAnywhere(forOther, &other))
		assert.Assert(rt, acceptedShare(forUrgent, &urgent) >= acceptedShare(forOther, &other))
	})
}

// orderedClasses are two classes of a service.
func orderedClasses() []route.Class {
	return []route.Class{{Urgency: 1, Priority: 1, Target: 800 * time.Millisecond}, {Urgency: 2, Priority: 1, Target: 2 * time.Second}}
}

// TestMemoryOfLessUrgentRequestsRefusesNobody guards against refusing requests for memory that a server would take from less urgent ones.
func TestMemoryOfLessUrgentRequestsRefusesNobody(t *testing.T) {
	tracker := newTracker(1)
	all := servers(1)
	less, urgent := requestOf(orderedClasses(), 1, 30000), requestOf(orderedClasses(), 0, 9000)
	for {
		f, refusal := tracker.Place(now, all, less)
		if refusal != nil {
			break
		}
		f.RecordProgress(now)
	}
	_, refusal := tracker.Place(now, all, urgent)
	assert.Assert(t, refusal == nil)
}

// TestMemoryOfOlderDaemonsIsDividedLikeTheirRequests guards against refusing urgent requests for the memory of older daemons.
func TestMemoryOfOlderDaemonsIsDividedLikeTheirRequests(t *testing.T) {
	l := serverLoad{Running: 4, RunningByUrgency: []int32{1, 0, 3}, MemoryUsed: 1000}
	assert.Equal(t, l.memory(), byUrgency{0: 250, 2: 750})
	l = serverLoad{Running: 4, MemoryUsed: 1000}
	assert.Equal(t, l.memory(), byUrgency{route.MaxUrgency: 1000})
}

// TestUrgentRequestsAreTriedAtOtherServers guards against refusing a request at a busy server that has its prompt while another has room.
func TestUrgentRequestsAreTriedAtOtherServers(t *testing.T) {
	for _, i := range []int{0, 1} {
		tracker := newTracker(1)
		all := servers(2)
		// 800 s of reading at the only server that has the prompt; the other one would read 90,000 tokens.
		req := requestOf(orderedClasses(), i, 90000)
		tracker.state(all[0].Instance()).recordParts([]uint64{req.Prompt[0].Hash}, now)
		l := serverLoad{Server: all[0].ID, Running: 1, RunningByUrgency: []int32{1}}
		l.setTokens(&byUrgency{0: 100000})
		tracker.receiveLoads("other", &loadsMessage{Loads: []serverLoad{l}}, now)
		f, refusal := tracker.Place(now, all, req)
		if i == 1 {
			assert.Assert(t, refusal != nil, "the least urgent requests are not tried elsewhere")
			continue
		}
		assert.Assert(t, refusal == nil)
		assert.Equal(t, f.Server, all[1])
	}
}

// turnoutOf lets a daemon record requests of a class of which some get nothing.
func turnoutOf(t *Tracker, at time.Time, req Request, offered, unserved int) {
	for range offered {
		t.RecordOffer(at, req)
	}
	for range unserved {
		t.RecordUnserved(at, req)
	}
}

// openAt returns the share of less urgent requests that a daemon accepts.
func openAt(t *Tracker, at time.Time, req Request) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openShare(at, nil, &req)
}

// TestAllDaemonsCloseForUrgentRequestsThatGetNothing guards against daemons that accept less urgent requests while another one refuses urgent ones.
func TestAllDaemonsCloseForUrgentRequestsThatGetNothing(t *testing.T) {
	urgent, less := requestOf(orderedClasses(), 0, 100), requestOf(orderedClasses(), 1, 300)
	for _, size := range append([]int{1}, fleetSizes...) {
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			d := newTestFleet(size)
			for i := range size {
				turnoutOf(d.tracker(i), now, urgent, 40/size, 0)
			}
			turnoutOf(d.tracker(0), now, urgent, 10, 10)
			at := now
			for range 2 {
				at = at.Add(turnoutInterval)
				d.round(at)
			}
			for i := range size {
				assert.Equal(t, openAt(d.tracker(i), at, less), 0.0, "daemon %d", i)
				assert.Equal(t, openAt(d.tracker(i), at, urgent), 1.0, "daemon %d", i)
			}
			later := at.Add(12 * time.Second)
			for i := range size {
				assert.Equal(t, openAt(d.tracker(i), later, less), 1.0, "daemon %d", i)
			}
		})
	}
}

// TestTurnoutsOfSeveralDaemonsAddUp guards against counting the requests of the local daemon twice or not at all.
func TestTurnoutsOfSeveralDaemonsAddUp(t *testing.T) {
	urgent := requestOf(orderedClasses(), 0, 100)
	class := fairshare.Class{Service: "s", Urgency: 1}
	for _, size := range fleetSizes {
		d := newTestFleet(size)
		for i := range size {
			turnoutOf(d.tracker(i), now, urgent, 10, 4)
		}
		for range 2 {
			d.round(now.Add(turnoutInterval))
		}
		d.round(now.Add(2 * turnoutInterval))
		for i := range size {
			o := d.tracker(i).turnouts.fleet(class, now)
			assert.Assert(t, o.offered > 8*float64(size) && o.offered < 11*float64(size), "%d daemons, daemon %d: %+v", size, i, o)
			assert.Assert(t, o.unserved > 3.2*float64(size) && o.unserved < 4.4*float64(size), "%d daemons, daemon %d: %+v", size, i, o)
		}
	}
}

// TestTurnoutsOfLostDaemonsEnd guards against daemons that are gone and keep less urgent requests closed.
func TestTurnoutsOfLostDaemonsEnd(t *testing.T) {
	var s turnouts = newTurnouts()
	class := fairshare.Class{Service: "s", Urgency: 1}
	report := []classTurnout{{Class: class, Offered: 900000, Unserved: 900000}}
	s.receivePeer("lost", report, now)
	assert.Equal(t, s.fleet(class, now).unservedShare(), 1.0)
	s.receivePeer("lost", report, now)
	assert.Equal(t, s.fleet(class, now).offered, 900.0, "reports are absolute")
	assert.Equal(t, s.fleet(class, now.Add(maxTurnoutAge+1)).offered, 0.0)
	s.receiveTotals(report, now)
	assert.Equal(t, s.fleet(class, now).offered, 900.0, "totals take precedence")
	assert.Equal(t, s.fleet(class, now.Add(maxTurnoutAge+1)).offered, 0.0)
}

// TestAFewRefusalsCloseNothing guards against refusing less urgent requests for a single refusal in a small deployment.
func TestAFewRefusalsCloseNothing(t *testing.T) {
	tracker := newTracker(1)
	urgent, less := requestOf(orderedClasses(), 0, 100), requestOf(orderedClasses(), 1, 300)
	turnoutOf(tracker, now, urgent, 3, 1)
	assert.Equal(t, openAt(tracker, now, less), 1.0)
	turnoutOf(tracker, now, urgent, 30, 3)
	assert.Equal(t, openAt(tracker, now, less), 0.0)
}

// TestHeldRequestsKeepNoServiceStrained guards against a service that stays closed because of the requests that it refuses for that.
func TestHeldRequestsKeepNoServiceStrained(t *testing.T) {
	tracker := newTracker(1)
	urgent, less := requestOf(orderedClasses(), 0, 100), requestOf(orderedClasses(), 1, 300)
	strained := func() bool { return tracker.isStrained(now, &urgent) }
	turnoutOf(tracker, now, less, 30, 0)
	for range 20 {
		tracker.RecordHeld(now, less)
	}
	assert.Assert(t, !strained())
	tracker.RecordLate(now, urgent, 0)
	assert.Equal(t, tracker.turnouts.local[urgent.class()].unserved, 0.0, "an answer that was lost otherwise")
	tracker.RecordLate(now, urgent, time.Second)
	assert.Assert(t, tracker.turnouts.local[urgent.class()].unserved > 0.9, "the server was busy")
	assert.Assert(t, !strained())
	turnoutOf(tracker, now, less, 0, 5)
	assert.Assert(t, strained())
}

// TestLeastUrgentClassesCloseFirst guards against a class that is refused in part in favour of a more urgent one while less urgent ones are accepted.
func TestLeastUrgentClassesCloseFirst(t *testing.T) {
	classes := append(orderedClasses(), route.Class{Urgency: 3, Priority: 1, Target: 2 * time.Second})
	for i := range 100 {
		x := float64(i) / 100
		near, far := requestOf(classes, 1, 100), requestOf(classes, 2, 300)
		nearShare, farShare := near.staged(classes[0], x, 0.2, 0.8), far.staged(classes[0], x, 0.2, 0.8)
		assert.Assert(t, nearShare == 1 || farShare == 0, "at %.2f: %.2f and %.2f", x, nearShare, farShare)
	}
}
