package bundle

import (
	"fmt"
	"time"
)

// versionEventKind is what happened in a run of several daemons.
type versionEventKind uint8

const (
	// acceptedInStore: the store named a version as the one in force.
	acceptedInStore versionEventKind = iota + 1
	// inForce: a daemon put a version in force.
	inForce
	// started and ended: a life of a daemon.
	started
	ended
	// cutOff and restored: a daemon reached neither peers nor the store.
	cutOff
	restored
	// storeDown and storeUp: an outage of the store.
	storeDown
	storeUp
)

// versionEvent is one event of a run.
type versionEvent struct {
	at      time.Duration
	kind    versionEventKind
	daemon  string
	life    int
	version uint64
	digest  string
}

// checkNeverBack reports each step back to an older version: in the store, on
// a daemon, and on a daemon that starts while a majority has a newer one.
func checkNeverBack(events []versionEvent, daemons int) []string {
	var found []string
	var accepted uint64
	current := map[string]uint64{}
	lives := map[int]uint64{}
	floors := map[int]uint64{}
	for _, e := range events {
		switch e.kind {
		case acceptedInStore:
			if e.version <= accepted {
				found = append(found, fmt.Sprintf("%v: the store went from %d to %d", e.at, accepted, e.version))
			}
			accepted = e.version
		case started:
			floors[e.life] = ofMajority(current, daemons)
		case ended:
			delete(current, e.daemon)
		case inForce:
			if e.version <= lives[e.life] || e.version < floors[e.life] {
				found = append(found, fmt.Sprintf("%v: %s put %d in force after %d, when a majority had %d at its start",
					e.at, e.daemon, e.version, lives[e.life], floors[e.life]))
			}
			lives[e.life], current[e.daemon] = e.version, e.version
		}
	}
	return found
}

// ofMajority returns the highest version that a majority of all daemons has
// reached.
func ofMajority(current map[string]uint64, daemons int) uint64 {
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

// window is a time in which a daemon could learn of versions.
type window struct {
	life     int
	daemon   string
	from, to time.Duration
}

// windows returns the times in which each daemon ran, was not cut off, and the
// store was up. The last event ends all.
func windows(events []versionEvent) []window {
	var found []window
	running := map[string]int{}
	cut := map[string]bool{}
	open := map[string]window{}
	down := false
	for i, e := range events {
		switch e.kind {
		case started:
			running[e.daemon] = e.life
			cut[e.daemon] = false
		case ended:
			delete(running, e.daemon)
		case cutOff, restored:
			cut[e.daemon] = e.kind == cutOff
		case storeDown, storeUp:
			down = e.kind == storeDown
		}
		for name, w := range open {
			if life, ok := running[name]; !ok || life != w.life || cut[name] || down || i == len(events)-1 {
				w.to = e.at
				found = append(found, w)
				delete(open, name)
			}
		}
		for name, life := range running {
			if _, ok := open[name]; !ok && !cut[name] && !down {
				open[name] = window{life: life, daemon: name, from: e.at}
			}
		}
	}
	return found
}

// checkInForce reports each accepted version that a daemon had not reached
// within the bound, and each content that differs between daemons.
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
			if got := versionAt(events, w.life, due); got < e.version {
				found = append(found, fmt.Sprintf("version %d accepted at %v: %s has %d at %v", e.version, e.at, w.daemon, got, due))
			}
		}
	}
	return found
}

func versionAt(events []versionEvent, life int, at time.Duration) uint64 {
	got := uint64(0)
	for _, e := range events {
		if e.kind == inForce && e.life == life && e.at <= at {
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
