package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start = time.Unix(1000, 0)
	class = Class{Service: "engines", Urgency: 2}
)

func TestLevelUsesUpTheRoomAndNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) claim {
			return claim{offered: rapid.Float64Range(0, 1e6).Draw(t, "offered"), weight: rapid.Float64Range(1, 1e6).Draw(t, "weight")}
		}), 1, 30).Draw(t, "claims")
		total := 0.0
		for _, c := range claims {
			total += c.offered
		}
		room := rapid.Float64Range(0, 1.5).Draw(t, "room") * total
		got, used := level(claims, room), 0.0
		for _, c := range claims {
			used += min(c.offered, c.weight*got)
		}
		assert.Assert(t, math.Abs(used-min(room, total)) <= 1e-6*(1+total), "level %v uses %v of %v", got, used, room)
	})
}

// sendUsual makes customers send their usual work for a minute.
func sendUsual(l *Ledger, customers int) time.Time { return sendFor(l, customers, start, time.Minute) }

// sendFor makes customers send their usual work from a time on, and returns the end.
func sendFor(l *Ledger, customers int, now time.Time, length time.Duration) time.Time {
	end := now.Add(length)
	for now.Before(end) {
		now = now.Add(100 * time.Millisecond)
		for c := range customers {
			l.Offered(now, class, fmt.Sprint(c), 1000)
			l.Accepted(now, class, fmt.Sprint(c), 1000)
		}
	}
	return now
}

func TestWhoSendsMoreThanUsualIsRefusedFirst(t *testing.T) {
	l := NewLedger()
	now := sendUsual(l, 10)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for c := range 10 {
			l.Offered(now, class, fmt.Sprint(c), 1000)
		}
		l.Offered(now, class, "3", 9000)
	}
	assert.Equal(t, l.AcceptedShare(now, class, "1", 0.7), 1.0)
	assert.Assert(t, l.AcceptedShare(now, class, "3", 0.7) < 0.7)
	assert.Assert(t, l.IsOverShare(now, class, "3") && !l.IsOverShare(now, class, "1"))
	assert.Equal(t, l.AcceptedShare(now, class, "new", 0.7), 1.0, "a new customer has its share left")
	assert.Equal(t, l.AcceptedShare(now, class, "", 0.7), 0.7, "requests without a customer aren't told apart")
	assert.Equal(t, l.AcceptedShare(now, class, "3", 1), 1.0, "slots are plenty")
	other := Class{Service: "engines", Urgency: 1}
	assert.Equal(t, l.AcceptedShare(now, other, "3", 0.7), 1.0, "shares hold within a class")
}

func TestACustomerThatSendsItsUsualAgainIsWithinItsShare(t *testing.T) {
	l := NewLedger()
	now := sendUsual(l, 10)
	l.Offered(now, class, "3", 50000)
	assert.Assert(t, l.IsOverShare(now, class, "3"))
	now = sendFor(l, 10, now, 3*time.Second)
	assert.Assert(t, !l.IsOverShare(now, class, "3"))
}

// TestWorkOfDaemonsThatEndedIsForgotten guards against customers that pay for reports of a daemon that is gone.
func TestWorkOfDaemonsThatEndedIsForgotten(t *testing.T) {
	l, other := NewLedger(), NewLedger()
	now := sendUsual(other, 3)
	l.ReceivePeer("other", other.TakeChanges(now, true), now)
	assert.Equal(t, len(l.Shares(now)), 3)
	assert.Equal(t, len(l.Shares(now.Add(maxAge+time.Second))), 0)
}

// TestReportsThatAreLostOrRepeatedChangeNothing guards against work that counts twice.
func TestReportsThatAreLostOrRepeatedChangeNothing(t *testing.T) {
	l, other := NewLedger(), NewLedger()
	now := sendUsual(other, 3)
	report := other.TakeChanges(now, true)
	l.ReceivePeer("other", report, now)
	once := l.Shares(now)
	l.ReceivePeer("other", report, now)
	assert.DeepEqual(t, l.Shares(now), once)
	other.Offered(now, class, "1", 7000)
	other.TakeChanges(now, false) // Lost.
	l.ReceivePeer("other", other.TakeChanges(now, true), now)
	assert.Assert(t, math.Abs(l.Shares(now)[1].Offered-other.Shares(now)[1].Offered) < 2)
}

// TestTotalsIncludeTheLocalDaemonOnce guards against a daemon's own work that it gets back from a relay.
func TestTotalsIncludeTheLocalDaemonOnce(t *testing.T) {
	l, relay := NewLedger(), NewLedger()
	now := sendUsual(l, 3)
	before := l.Shares(now)
	relay.ReceivePeer("l", l.TakeChanges(now, true), now)
	l.ReceiveTotals(relay.Totals(now, func(Class) bool { return true }), now)
	for i, s := range l.Shares(now) {
		assert.Assert(t, math.Abs(s.Offered-before[i].Offered) < 2, "%+v, before %+v", s, before[i])
	}
}
