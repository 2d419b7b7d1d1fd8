package bundle

import "time"

// joinState holds what a daemon learns before it puts its first version in
// force. Until then, a version heard from one daemon may be an old one: the
// store must tell which is in force, or a majority of the listed peers.
type joinState struct {
	done bool
	// fromStore is set once the store told the version in force, floor.
	fromStore bool
	floor     uint64
	// answers maps peers to the version in force on them.
	answers map[string]uint64
	// candidate is the highest version received.
	candidate *accepted
}

func newJoinState() joinState {
	return joinState{answers: map[string]uint64{}}
}

func (j *joinState) candidateVersion() uint64 {
	if j.candidate == nil {
		return 0
	}
	return j.candidate.record.Version
}

// answer records the version in force on a peer. A peer without one proves
// nothing: it may have been replaced a moment ago.
func (j *joinState) answer(from string, version uint64) {
	if version > 0 {
		j.answers[from] = max(j.answers[from], version)
	}
}

// settled returns the lowest version that may be put in force, once known.
func (j *joinState) settled(listed []string) (floor uint64, ok bool) {
	if j.fromStore {
		return j.floor, true
	}
	answered := 0
	for _, name := range listed {
		if v := j.answers[name]; v > 0 {
			answered++
			floor = max(floor, v)
		}
	}
	return floor, len(listed) > 0 && answered > len(listed)/2
}

// learnFloor notes the version that the store says is in force, zero if none.
func (a *Activator) learnFloor(version uint64) {
	listed := a.otherNames()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.join.fromStore = true
	a.join.floor = max(a.join.floor, version)
	a.tryJoin(listed)
}

// offer puts a checked version in force, or keeps it until the daemon may.
// It reports whether the version is in force now.
func (a *Activator) offer(n *accepted) bool {
	listed := a.otherNames()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.join.done {
		return a.putInForce(n)
	}
	if n.record.Version > a.join.candidateVersion() {
		a.join.candidate = n
	}
	return a.tryJoin(listed)
}

// tryJoin ends the join if the candidate is surely not older than the version
// in force. It reports whether the candidate was put in force. The caller
// holds the lock.
func (a *Activator) tryJoin(listed []string) bool {
	if a.join.done {
		return false
	}
	floor, ok := a.join.settled(listed)
	if !ok || a.join.candidateVersion() < floor {
		return false
	}
	a.join.done = true
	candidate := a.join.candidate
	a.join.candidate = nil
	if candidate == nil {
		return false
	}
	return a.putInForce(candidate)
}

// otherNames returns the names of all listed daemons but the local one. It
// must not be called with the lock held, which Config.Peers knows nothing of.
func (a *Activator) otherNames() []string {
	var names []string
	for _, p := range a.cfg.Peers() {
		if p.Name != a.cfg.Bus.Self() {
			names = append(names, p.Name)
		}
	}
	return names
}

// wants reports whether a version should be asked for now. The caller holds
// the lock.
func (a *Activator) wants(version uint64) bool {
	if version <= max(a.version(), a.join.candidateVersion()) {
		return false
	}
	pending := a.requested >= version && time.Since(a.requestedAt) < requestTimeout
	return !pending
}
