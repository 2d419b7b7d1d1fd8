package entry

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/placement"
)

// liveDaemons returns n live daemons in three failure domains.
func liveDaemons(n int) []membership.Daemon {
	var all []membership.Daemon
	for i := range n {
		all = append(all, membership.Daemon{
			Name: fmt.Sprintf("entry-%02d", i), Domain: fmt.Sprint("domain-", i%3), State: membership.Alive,
		})
	}
	return all
}

// newFleet returns the fleet as daemons[self] sees it.
func newFleet(daemons []membership.Daemon, self int) *fleet {
	return &fleet{
		self:    placement.Peer{Name: daemons[self].Name, Domain: daemons[self].Domain},
		daemons: func() []membership.Daemon { return daemons },
	}
}

// TestFewDaemonsOfALargeFleetWatch checks that all daemons of a failure domain
// select the same watchers, and that a selected daemon knows that it is one.
func TestFewDaemonsOfALargeFleetWatch(t *testing.T) {
	daemons := liveDaemons(30)
	watchers := map[string][]string{}
	for i, d := range daemons {
		w := newFleet(daemons, i).Watchers()
		names := slices.Clone(w.Others)
		if w.Self {
			names = append(names, d.Name)
		}
		slices.Sort(names)
		assert.Equal(t, len(names), watchersPerDomain)
		if known := watchers[d.Domain]; known != nil {
			assert.DeepEqual(t, names, known)
		}
		watchers[d.Domain] = names
	}
	assert.Equal(t, len(watchers), 3)
}

func TestAllDaemonsOfASmallFleetWatch(t *testing.T) {
	daemons := liveDaemons(selectWatchersFrom)
	for i := range daemons {
		assert.Assert(t, newFleet(daemons, i).Watchers().Self)
	}
}

// TestFleetFollowsTheListOfDaemons checks that the result is computed again for a
// new list and cached, without allocations, for the same one.
func TestFleetFollowsTheListOfDaemons(t *testing.T) {
	daemons := liveDaemons(4)
	f := newFleet(daemons, 0)
	f.daemons = func() []membership.Daemon { return daemons }
	assert.Equal(t, len(f.Live().Others), 3)
	assert.Equal(t, f.view(), f.view())
	daemons = slices.Clone(daemons)
	daemons[1].State = membership.Suspect
	assert.Equal(t, len(f.Live().Others), 2)
	assert.Equal(t, testing.AllocsPerRun(10, func() { f.Watchers() }), 0.0)
}
