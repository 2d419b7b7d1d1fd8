package metering

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/election"
	"github.com/jacinththread/jacinththread/peer/peertest"
)

// newTestLeader returns a leader of a daemon, with windows of 5 s, that has a term and the reports that earlier leaders stored.
func newTestLeader(now *time.Duration) *Leader {
	term := election.NewTerm(Role, "daemon", 1, func() time.Duration { return 0 }, time.Hour)
	l := NewLeader(Config{
		Windows: testWindows, Term: func() *election.Term { return term }, Daemons: func() []string { return []string{"daemon"} },
		Clock: func() time.Duration { return *now }, Bus: peertest.NewNetwork(1).Bus("daemon"), Log: log.New(io.Discard), Metrics: metrics.NewRegistry(),
	})
	l.leads()
	return l
}

// TestWindowsLeaveNoGap guards against counts that are in no report, or in two, because the clock that windows are cut by seems to
// move between two windows.
func TestWindowsLeaveNoGap(t *testing.T) {
	const rounds = 4
	for _, delay := range []time.Duration{-40 * time.Millisecond, 0, 40 * time.Millisecond} {
		now := 100 * time.Second
		l := newTestLeader(&now)
		for i := range rounds {
			m := countsOf(now, slotOf(now-testWindows.Length), slotOf(now))
			m.WallMs = (now - time.Duration(i%2)*delay).Milliseconds()
			l.collector.add("daemon", m, now)
			decided, _ := l.decide()
			l.stored = append(l.stored, decided...)
			now += testWindows.Length
		}
		first, last := l.stored[0].Window, l.stored[len(l.stored)-1].Window
		assert.Assert(t, last-first >= rounds-2)
		reported := int64(0)
		for _, r := range l.stored {
			reported += r.Counts["a"]
		}
		began := l.collector.window(l.cuts[first-1], l.cuts[last])["a"]
		assert.Equal(t, reported, began, "delay %v", delay)
	}
}
