package entry

import (
	"slices"
	"sync/atomic"

	"github.com/jacinththread/jacinththread/hashring"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/mirror"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/policy"
)

const (
	// selectWatchersFrom is the number of other live daemons from which only
	// selected daemons watch the store. In a smaller fleet all of them do.
	selectWatchersFrom = 12
	// watchersPerDomain is the number of daemons in each failure domain that watch
	// the store on behalf of the others in a large fleet.
	watchersPerDomain = 3
)

// fleet derives from the member list which daemons exchange load information and
// which ones watch the store. It caches the result until the list changes.
type fleet struct {
	self    placement.Peer
	daemons func() []membership.Daemon
	// last is the result for the most recent list.
	last atomic.Pointer[fleetView]
}

// fleetView is the result derived from one list of daemons. It is immutable.
type fleetView struct {
	daemons  []membership.Daemon
	fleet    placement.Fleet
	watchers mirror.Watchers
	// ring has the live daemons, including the local one.
	ring *hashring.Ring
}

// Live returns the local daemon and the other live ones with their failure
// domains.
func (f *fleet) Live() placement.Fleet { return f.view().fleet }

// OtherNames returns the names of the other live daemons.
func (f *fleet) OtherNames() []string { return f.Live().OtherNames() }

// Ring returns the hash ring of the live daemons, including the local one.
func (f *fleet) Ring() *hashring.Ring { return f.view().ring }

// Watchers returns the daemons that watch the store: all daemons of a small fleet,
// or watchersPerDomain daemons of the local failure domain in a large one.
func (f *fleet) Watchers() mirror.Watchers { return f.view().watchers }

// view returns the result for the current list of daemons.
func (f *fleet) view() *fleetView {
	daemons := f.daemons()
	if v := f.last.Load(); v != nil && sameSlice(v.daemons, daemons) {
		return v
	}
	v := &fleetView{daemons: daemons, fleet: f.liveFleet(daemons)}
	v.watchers = selectWatchers(v.fleet)
	v.ring = hashring.New(append(v.fleet.OtherNames(), f.self.Name))
	f.last.Store(v)
	return v
}

// sameSlice reports whether a and b share their backing array and length. That
// suffices to detect a new list, as lists of daemons are never modified in place.
func sameSlice(a, b []membership.Daemon) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// liveFleet returns the local daemon and the other daemons that are alive.
func (f *fleet) liveFleet(daemons []membership.Daemon) placement.Fleet {
	live := placement.Fleet{Self: f.self}
	for _, m := range daemons {
		if m.Name != f.self.Name && m.State == membership.Alive {
			live.Others = append(live.Others, placement.Peer{Name: m.Name, Domain: m.Domain})
		}
	}
	return live
}

// selectWatchers selects the watchers of the local failure domain. Daemons that see
// the same members of the domain select the same watchers.
func selectWatchers(f placement.Fleet) mirror.Watchers {
	if len(f.Others) < selectWatchersFrom {
		return mirror.Watchers{Self: true, Daemons: len(f.Others) + 1}
	}
	members := []string{f.Self.Name}
	for _, p := range f.Others {
		if p.Domain == f.Self.Domain {
			members = append(members, p.Name)
		}
	}
	w := mirror.Watchers{Daemons: len(f.Others) + 1}
	for range min(watchersPerDomain, len(members)) {
		name := policy.Assign(f.Self.Domain, members)
		members = slices.DeleteFunc(members, func(n string) bool { return n == name })
		if name == f.Self.Name {
			w.Self = true
		} else {
			w.Others = append(w.Others, name)
		}
	}
	return w
}
