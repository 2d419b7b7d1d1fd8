package bundle

import "time"

// joinState is the state of a daemon that has not yet put its first version in
// force. A version received from a single peer may be outdated. The daemon
// therefore waits until the store, or a majority of the listed peers, has
// reported the version in force.
type joinState struct {
	done bool
	// storeRead is set once the store has been read. floor is the version that was
	// in force there, zero if none.
	storeRead bool
	floor     uint64
	// peerVersions maps each peer to the highest version it has reported.
	peerVersions map[string]uint64
	// candidate is the highest valid version received so far.
	candidate *checkedRecord
}

func newJoinState() joinState {
	return joinState{peerVersions: map[string]uint64{}}
}

func (j *joinState) candidateVersion() uint64 {
	if j.candidate == nil {
		return 0
	}
	return j.candidate.record.Version
}

// recordPeer records the version in force on a peer. A peer without a version
// does not count towards the majority, because it may have just been replaced.
func (j *joinState) recordPeer(from string, version uint64) {
	if version > 0 {
		j.peerVersions[from] = max(j.peerVersions[from], version)
	}
}

// minVersion returns the lowest version that may be put in force. ok is false until
// the store has been read or a majority of the listed peers has reported a version.
func (j *joinState) minVersion(listed []string) (floor uint64, ok bool) {
	if j.storeRead {
		return j.floor, true
	}
	reported := 0
	for _, name := range listed {
		if v := j.peerVersions[name]; v > 0 {
			reported++
			floor = max(floor, v)
		}
	}
	return floor, len(listed) > 0 && reported > len(listed)/2
}

// recordStoreVersion records the version in force in the store, zero if none.
func (a *Activator) recordStoreVersion(version uint64) {
	listed := a.peerNames()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.join.storeRead = true
	a.join.floor = max(a.join.floor, version)
	a.tryJoin(listed)
}

// putInForceOrHold puts a version in force, or holds it as the candidate while
// the daemon is joining. It reports whether a version was put in force.
func (a *Activator) putInForceOrHold(n *checkedRecord) bool {
	listed := a.peerNames()
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

// tryJoin ends the join once the candidate is known not to be older than the
// version in force, or the store has no version. It reports whether it put the
// candidate in force. The caller must hold a.mu.
func (a *Activator) tryJoin(listed []string) bool {
	if a.join.done {
		return false
	}
	floor, ok := a.join.minVersion(listed)
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

// peerNames returns the names of all listed daemons except the local one. The
// caller must not hold a.mu, because Config.Peers is a callback that may block or
// call back into the activator.
func (a *Activator) peerNames() []string {
	var names []string
	for _, p := range a.cfg.Peers() {
		if p.Name != a.cfg.Bus.Self() {
			names = append(names, p.Name)
		}
	}
	return names
}

// shouldRequest reports whether to request a version now. It does not if the
// version is known, or requested less than requestTimeout ago. The caller must
// hold a.mu.
func (a *Activator) shouldRequest(version uint64) bool {
	if version <= max(a.version(), a.join.candidateVersion()) {
		return false
	}
	pending := a.requestedVersion >= version && time.Since(a.requestedAt) < requestTimeout
	return !pending
}
