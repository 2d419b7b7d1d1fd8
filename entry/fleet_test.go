package entry

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/placement"
)

// daemonsOf returns live daemons in three failure domains.
func daemonsOf(n int) []membership.Daemon {
	var all []membership.Daemon
	for i := range n {
		all = append(all, membership.Daemon{
			Name: fmt.Sprintf("entry-%02d", i), Domain: fmt.Sprint("domain-", i%3), State: membership.Alive,
		})
	}
	return all
}

func fleetOf(daemons []membership.Daemon, self int) *fleet {
	return &fleet{
		self:    placement.Peer{Name: daemons[self].Name, Domain: daemons[self].Domain},
		daemons: func() []membership.Daemon { return daemons },
	}
}

// TestFewDaemonsOfALargeFleetWatch: all daemons of a failure domain agree on
// the same few, and each watcher counts itself.
func TestFewDaemonsOfALargeFleetWatch(t *testing.T) {
	daemons := daemonsOf(30)
	watching := map[string][]string{}
	for i, d := range daemons {
		w := fleetOf(daemons, i).Watchers()
		names := slices.Clone(w.Others)
		if w.Self {
			names = append(names, d.Name)
		}
		slices.Sort(names)
		assert.Equal(t, len(names), watchersPerDomain)
		if known := watching[d.Domain]; known != nil {
			assert.DeepEqual(t, names, known)
		}
		watching[d.Domain] = names
	}
	assert.Equal(t, len(watching), 3)
}

func TestAllDaemonsOfASmallFleetWatch(t *testing.T) {
	daemons := daemonsOf(everyoneWatches)
	for i := range daemons {
		assert.Assert(t, fleetOf(daemons, i).Watchers().Self)
	}
}

// TestFleetFollowsTheListOfDaemons: a new list is worked out, the same one is
// not.
func TestFleetFollowsTheListOfDaemons(t *testing.T) {
	daemons := daemonsOf(4)
	f := fleetOf(daemons, 0)
	f.daemons = func() []membership.Daemon { return daemons }
	assert.Equal(t, len(f.Others().Others), 3)
	assert.Equal(t, f.view(), f.view())
	daemons = slices.Clone(daemons)
	daemons[1].State = membership.Suspect
	assert.Equal(t, len(f.Others().Others), 2)
	assert.Equal(t, testing.AllocsPerRun(10, func() { f.Watchers() }), 0.0)
}
