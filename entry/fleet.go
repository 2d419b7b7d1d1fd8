package entry

import (
	"slices"
	"sync/atomic"

	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/mirror"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/policy"
)

const (
	// everyoneWatches is the number of other daemons below which all watch the
	// store.
	everyoneWatches = 12
	// watchersPerDomain is the number of daemons of a failure domain that watch
	// the store for the others in a large fleet.
	watchersPerDomain = 3
)

// fleet works out from the list of daemons who shares loads and who watches the
// store. It does so once for each change of the list.
type fleet struct {
	self    placement.Peer
	daemons func() []membership.Daemon
	last    atomic.Pointer[fleetView]
}

// fleetView is what follows from one list of daemons. It is not changed once
// it is made.
type fleetView struct {
	of       []membership.Daemon
	fleet    placement.Fleet
	watchers mirror.Watchers
}

// Others returns the live daemons with their failure domains.
func (f *fleet) Others() placement.Fleet { return f.view().fleet }

// Watchers returns the daemons that watch the store: all of a small fleet, and
// a few of each failure domain of a large one.
func (f *fleet) Watchers() mirror.Watchers { return f.view().watchers }

func (f *fleet) view() *fleetView {
	daemons := f.daemons()
	if v := f.last.Load(); v != nil && sameList(v.of, daemons) {
		return v
	}
	v := &fleetView{of: daemons, fleet: f.live(daemons)}
	v.watchers = watchersOf(v.fleet)
	f.last.Store(v)
	return v
}

// sameList reports whether two lists are the same memory. Lists of daemons are
// replaced and never changed.
func sameList(a, b []membership.Daemon) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (f *fleet) live(daemons []membership.Daemon) placement.Fleet {
	live := placement.Fleet{Self: f.self}
	for _, m := range daemons {
		if m.Name != f.self.Name && m.State == membership.Alive {
			live.Others = append(live.Others, placement.Peer{Name: m.Name, Domain: m.Domain})
		}
	}
	return live
}

func watchersOf(f placement.Fleet) mirror.Watchers {
	if len(f.Others) < everyoneWatches {
		return mirror.Watchers{Self: true}
	}
	members := []string{f.Self.Name}
	for _, p := range f.Others {
		if p.Domain == f.Self.Domain {
			members = append(members, p.Name)
		}
	}
	var w mirror.Watchers
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
