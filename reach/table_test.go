package reach

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
)

var errDial = errors.New("dial failed")

// start is an arbitrary time at which tests begin.
var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func server(n int) backend.Instance {
	return backend.Instance{ID: fmt.Sprint("server-", n), Started: 1}
}

// newHeardTable returns a table of a daemon that heard from servers 0 to n-1 at the start.
func newHeardTable(n int) *Table {
	t := NewTable(log.New(io.Discard), metrics.NewRegistry())
	for i := range n {
		t.Connected(server(i), start)
		t.Heard(server(i), start)
	}
	return t
}

// trials takes the trials that are due of servers 0 and 1.
func (t *Table) trials(now time.Time) int {
	servers := []*backend.Server{{ID: server(0).ID, Started: 1}, {ID: server(1).ID, Started: 1}}
	return len(t.TakeTrials(servers, now))
}

func TestOneServerThatFailsIsNoIsolation(t *testing.T) {
	tab := newHeardTable(4)
	for ms := range 10 {
		tab.ConnectFailed(server(0), errDial, at(100+ms))
		tab.Tunneled(server(0), at(100+ms))
	}
	assert.Assert(t, !tab.IsIsolated())
	assert.Assert(t, !tab.UseDirect(server(0), true, at(200)))
	assert.Assert(t, tab.UseDirect(server(1), false, at(200)))
}

func TestServersReachedOnlyThroughOthersShowAnIsolation(t *testing.T) {
	tab := newHeardTable(4)
	for i := range 2 {
		tab.ConnectFailed(server(i), errDial, at(100+i))
		tab.Tunneled(server(i), at(105+i))
	}
	assert.Assert(t, tab.IsIsolated())
	assert.Assert(t, !tab.UseDirect(server(3), true, at(200)), "server that wasn't tried since")
	assert.Assert(t, !tab.UseDirect(server(9), true, at(200)), "server that was never tried")
}

func TestAllServersThatWereTriedShowAnIsolation(t *testing.T) {
	tab := newHeardTable(4)
	for i := range 3 {
		tab.ConnectFailed(server(i), errDial, at(100+i))
	}
	assert.Assert(t, tab.IsIsolated())
	assert.Assert(t, !tab.UseDirect(server(3), false, at(200)))
}

// It guards against daemons that take themselves for isolated because servers that are down are tried again.
func TestTrialsOfServersThatAreDownShowNoIsolation(t *testing.T) {
	tab := newHeardTable(5)
	for i := range 4 {
		tab.ConnectFailed(server(i), errDial, at(i))
		tab.Heard(server(4), at(i))
	}
	for i := range 4 {
		tab.ConnectFailed(server(i), errDial, at(1000+i))
	}
	assert.Assert(t, !tab.IsIsolated())
}

// It guards against servers that are reached again and still count as lost.
func TestServerThatIsReachedAgainShowsNoIsolation(t *testing.T) {
	tab := newHeardTable(4)
	for i := range 3 {
		tab.ConnectFailed(server(i), errDial, at(100*i))
		tab.Connected(server(i), at(100*i+50))
	}
	assert.Assert(t, !tab.IsIsolated())
}

// It guards against daemons that take themselves for isolated because several servers crash at once.
func TestServersThatFailWhileOthersAreReachedShowNoIsolation(t *testing.T) {
	tab := newHeardTable(8)
	for i := range 6 {
		tab.ConnectFailed(server(i), errDial, at(100+2*i))
		tab.Connected(server(7), at(101+2*i))
	}
	assert.Assert(t, !tab.IsIsolated())
	assert.Assert(t, tab.UseDirect(server(6), false, at(200)))
	assert.Assert(t, !tab.UseDirect(server(0), true, at(200)))
}

// It guards against daemons that notice only after their last stream has ended that servers answer no requests.
func TestStreamsThatGoOnDontHideUnansweredRequests(t *testing.T) {
	tab := newHeardTable(4)
	for i := range 2 {
		tab.Unanswered(server(i), at(100+i), at(1100+i))
		tab.Received()
	}
	assert.Assert(t, tab.IsIsolated())
}

func TestServersThatFailWhileStreamsGoOnShowNoIsolation(t *testing.T) {
	tab := newHeardTable(8)
	for i := range 6 {
		tab.ConnectFailed(server(i), errDial, at(100+2*i))
		tab.Received()
	}
	assert.Assert(t, !tab.IsIsolated())
}

// It guards against requests that go to a server on a path on which only a stream of before its failure works.
func TestStreamsThatGoOnDontProveAPathThatFailed(t *testing.T) {
	tab := newHeardTable(4)
	tab.ConnectFailed(server(0), errDial, at(100))
	tab.Connected(server(0), at(200))
	tab.Received()
	assert.Assert(t, !tab.IsProven(server(0), at(400)))
}

func TestServersThatFailWhileOthersAnswerShowNoIsolation(t *testing.T) {
	tab := newHeardTable(5)
	for i := range 4 {
		tab.ConnectFailed(server(i), errDial, at(100+i))
		tab.Heard(server(4), at(100+i))
	}
	assert.Assert(t, !tab.IsIsolated())
	assert.Assert(t, tab.UseDirect(server(4), false, at(200)))
}

// TestOldConnectionsThatWorkShowNoIsolation checks a path on which only new connections are refused.
func TestOldConnectionsThatWorkShowNoIsolation(t *testing.T) {
	tab := newHeardTable(8)
	for i := range 6 {
		tab.ConnectFailed(server(i), errDial, at(100*i))
		tab.Tunneled(server(i), at(100*i+5))
		tab.Heard(server(7), at(100*i+50))
	}
	assert.Assert(t, !tab.IsIsolated())
	assert.Assert(t, tab.UseDirect(server(7), false, at(900)))
	assert.Assert(t, !tab.UseDirect(server(0), false, at(900)))
}

func TestServersThatLeaveRequestsUnansweredShowAnIsolation(t *testing.T) {
	tab := newHeardTable(5)
	for i := range 2 {
		tab.Unanswered(server(i), at(100+i), at(600+i))
		assert.Equal(t, tab.IsIsolated(), i == 1)
	}
	// Connections that open prove nothing: no request that can't be repeated uses them.
	tab.Connected(server(0), at(900))
	assert.Assert(t, !tab.UseDirect(server(0), false, at(5000)))
	assert.Assert(t, tab.UseDirect(server(0), true, at(5000)))
	tab.Heard(server(0), at(5010))
	assert.Assert(t, tab.UseDirect(server(0), false, at(5020)))
	assert.Assert(t, tab.UseDirect(server(1), false, at(5020)))
}

func TestAnswersMeanwhileShowThatServersAreSlow(t *testing.T) {
	tab := newHeardTable(5)
	for i := range 4 {
		tab.Unanswered(server(i), at(100*i), at(100*i+500))
		tab.Heard(server(4), at(100*i+550))
	}
	assert.Assert(t, !tab.IsIsolated())
}

// TestDirectPathIsUsedAgainStepByStep checks the way back after a cut.
func TestDirectPathIsUsedAgainStepByStep(t *testing.T) {
	tab := newHeardTable(2)
	tab.ConnectFailed(server(0), errDial, at(100))
	assert.Equal(t, tab.trials(at(150)), 0, "too early")
	assert.Equal(t, tab.trials(at(400)), 1)
	assert.Equal(t, tab.trials(at(410)), 0, "one at a time")
	tab.Connected(server(0), at(420))
	assert.Assert(t, !tab.UseDirect(server(0), false, at(430)), "not proven for requests that can't be repeated")
	assert.Assert(t, tab.UseDirect(server(0), true, at(430)))
	assert.Assert(t, !tab.UseDirect(server(0), true, at(440)), "one at a time")
	tab.Heard(server(0), at(450))
	assert.Assert(t, tab.UseDirect(server(0), false, at(460)))
	assert.Assert(t, !tab.ProvenSince(server(0)).Before(at(100)), "connections from before the cut")
}

func TestTrialsOfAServerThatStaysAwayGetRare(t *testing.T) {
	tab := newHeardTable(1)
	trials := 0
	tab.ConnectFailed(server(0), errDial, at(0))
	for ms := range 60_000 {
		if tab.trials(at(ms)) > 0 {
			trials++
			tab.ConnectFailed(server(0), errDial, at(ms))
		}
	}
	assert.Assert(t, trials >= 28 && trials <= 36, "%d trials in a minute", trials)
}

func TestAllowanceBoundsTheRateAndTheBurst(t *testing.T) {
	a := newAllowance(100*time.Millisecond, 10)
	used := 0
	for ms := range 10_000 {
		if a.take(at(ms)) {
			used++
		}
	}
	assert.Assert(t, used >= 100 && used <= 111, "%d used", used)
}
