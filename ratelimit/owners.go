package ratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/hashring"
)

const (
	// reclaimDelay is how long a daemon that is neither alive nor registered keeps its
	// slots. It may be cut off and still use them.
	reclaimDelay = 10 * time.Second
	// minorityReclaimDelay replaces reclaimDelay while the local daemon sees less than
	// half of the slots' owners alive. The others may then be the larger part of the
	// fleet.
	minorityReclaimDelay = time.Minute
	// maxRecordsAge is the age of the store's records from which a daemon that sees less
	// than half of the owners alive uses no slots. It is shorter than reclaimDelay, after
	// which the others may use them.
	maxRecordsAge = 5 * time.Second
)

// View is what a daemon knows of the fleet.
type View struct {
	// Alive holds the names of the live daemons, including the local one.
	Alive []string
	// Registered holds the names of the daemons that have a record in the store.
	Registered []string
	// RecordsAge is the time since the store's records were last confirmed.
	RecordsAge time.Duration
}

// owners determines which daemons own slots.
type owners struct {
	lastSeen map[string]time.Time
	// names is the sorted content of the ring.
	names []string
	ring  *hashring.Ring
	// paused is set while the local daemon must not use its own slots.
	paused bool
}

func newOwners() *owners {
	return &owners{lastSeen: map[string]time.Time{}, ring: hashring.New(nil)}
}

// update applies the current view.
func (o *owners) update(v View, now time.Time) {
	for _, names := range [][]string{v.Alive, v.Registered} {
		for _, n := range names {
			o.lastSeen[n] = now
		}
	}
	minority := 2*len(v.Alive) <= len(o.lastSeen)
	o.paused = minority && v.RecordsAge > maxRecordsAge
	delay := reclaimDelay
	if minority {
		delay = minorityReclaimDelay
	}
	maps.DeleteFunc(o.lastSeen, func(_ string, seen time.Time) bool { return now.Sub(seen) > delay })
	names := slices.Sorted(maps.Keys(o.lastSeen))
	if slices.Equal(names, o.names) {
		return
	}
	o.names, o.ring = names, hashring.New(names)
}
