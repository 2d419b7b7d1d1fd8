package bundle

import (
	"fmt"
	"time"
)

// versionEventKind is the kind of an event in the history of a run.
type versionEventKind uint8

const (
	// acceptedInStore: bundle/current was written and names a new version.
	acceptedInStore versionEventKind = iota + 1
	// inForce: a daemon put a version in force.
	inForce
	// started and ended: a daemon process started or ended.
	started
	ended
	// cutOff and restored: a daemon lost or regained its connections to peers
	// and the store.
	cutOff
	restored
	// storeDown and storeUp: an outage of the store started or ended.
	storeDown
	storeUp
)

// versionEvent is one event in the history of a run.
type versionEvent struct {
	at          time.Duration
	kind        versionEventKind
	daemon      string
	incarnation int
	version     uint64
	digest      string
}

// checkNeverBack reports each event that puts an older version in force: in the
// store, on a running daemon, and on a daemon that started when a majority already
// had a newer one.
func checkNeverBack(events []versionEvent, daemons int) []string {
	var found []string
	var accepted uint64
	current := map[string]uint64{}
	versionOf := map[int]uint64{}
	floors := map[int]uint64{}
	for _, e := range events {
		switch e.kind {
		case acceptedInStore:
			if e.version <= accepted {
				found = append(found, fmt.Sprintf("%v: the store went from %d to %d", e.at, accepted, e.version))
			}
			accepted = e.version
		case started:
			floors[e.incarnation] = majorityVersion(current, daemons)
		case ended:
			delete(current, e.daemon)
		case inForce:
			if e.version <= versionOf[e.incarnation] || e.version < floors[e.incarnation] {
				found = append(found, fmt.Sprintf("%v: %s put %d in force after %d, when a majority had %d at its start",
					e.at, e.daemon, e.version, versionOf[e.incarnation], floors[e.incarnation]))
			}
			versionOf[e.incarnation], current[e.daemon] = e.version, e.version
		}
	}
	return found
}

// majorityVersion returns the highest version v such that a majority of all
// daemons has v or a newer one in force.
func majorityVersion(current map[string]uint64, daemons int) uint64 {
	best := uint64(0)
	for _, v := range current {
		reached := 0
		for _, w := range current {
			if w >= v {
				reached++
			}
		}
		if reached > daemons/2 {
			best = max(best, v)
		}
	}
	return best
}

// window is a period in which a daemon process was able to learn of versions.
type window struct {
	incarnation int
	daemon      string
	from, to    time.Duration
}

// windows returns the periods in which a daemon was running and not partitioned
// while the store was available. The last event ends all open windows.
func windows(events []versionEvent) []window {
	var found []window
	running := map[string]int{}
	cut := map[string]bool{}
	open := map[string]window{}
	down := false
	for i, e := range events {
		switch e.kind {
		case started:
			running[e.daemon] = e.incarnation
			cut[e.daemon] = false
		case ended:
			delete(running, e.daemon)
		case cutOff, restored:
			cut[e.daemon] = e.kind == cutOff
		case storeDown, storeUp:
			down = e.kind == storeDown
		}
		for name, w := range open {
			if incarnation, ok := running[name]; !ok || incarnation != w.incarnation || cut[name] || down || i == len(events)-1 {
				w.to = e.at
				found = append(found, w)
				delete(open, name)
			}
		}
		for name, incarnation := range running {
			if _, ok := open[name]; !ok && !cut[name] && !down {
				open[name] = window{incarnation: incarnation, daemon: name, from: e.at}
			}
		}
	}
	return found
}

// checkInForce reports each version that a daemon did not put in force within the
// bound although it was able to, and each daemon whose content of a version is not
// that of the store.
func checkInForce(events []versionEvent, bound time.Duration) []string {
	found := checkDigests(events)
	all := windows(events)
	for _, e := range events {
		if e.kind != acceptedInStore {
			continue
		}
		for _, w := range all {
			due := max(w.from, e.at) + bound
			if due > w.to {
				continue
			}
			if got := versionAt(events, w.incarnation, due); got < e.version {
				found = append(found, fmt.Sprintf("version %d accepted at %v: %s has %d at %v", e.version, e.at, w.daemon, got, due))
			}
		}
	}
	return found
}

func versionAt(events []versionEvent, incarnation int, at time.Duration) uint64 {
	got := uint64(0)
	for _, e := range events {
		if e.kind == inForce && e.incarnation == incarnation && e.at <= at {
			got = e.version
		}
	}
	return got
}

func checkDigests(events []versionEvent) []string {
	var found []string
	digests := map[uint64]string{}
	for _, e := range events {
		if e.kind == acceptedInStore {
			digests[e.version] = e.digest
		}
	}
	for _, e := range events {
		if e.kind == inForce && digests[e.version] != e.digest {
			found = append(found, fmt.Sprintf("%v: %s has version %d with another content than the store", e.at, e.daemon, e.version))
		}
	}
	return found
}
