package election

import (
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

const (
	// rankDelay is how much longer each candidate waits than the one ranked before it, so that one attempt is
	// enough unless the first ones fail.
	rankDelay = 400 * time.Millisecond
	// nearRanks is the number of ranks that wait rankDelay each. Those behind wait farRankDelay more each.
	nearRanks    = 8
	farRankDelay = 30 * time.Millisecond
)

// standing decides when the local daemon stands for a role. It answers the end of a leader, after which
// hundreds of daemons could take over at the same moment.
type standing struct {
	// earliest is the time before which the daemon doesn't stand.
	earliest time.Duration
	// absent is set while the copy shows no record, which it has since absentSince.
	absent      bool
	absentSince time.Duration
	// epoch is that of the store as last seen, valid if hasEpoch is set.
	epoch    uint64
	hasEpoch bool
}

// wait postpones standing.
func (s *standing) wait(until time.Duration) { s.earliest = max(s.earliest, until) }

// observe takes in the state of the local copy. A store that came back from an older copy may have lost the lease of a
// leader that still acts, so the daemon doesn't stand until that leader's term must be over.
func (s *standing) observe(now time.Duration, v View, lease time.Duration) {
	if v.At == 0 {
		return
	}
	if s.hasEpoch && v.At.Epoch() != s.epoch {
		s.wait(now + lease)
	}
	s.epoch, s.hasEpoch = v.At.Epoch(), true
}

// due reports whether the daemon is to stand now.
func (s *standing) due(now time.Duration, v View, self, role string, candidates func() []string) bool {
	if v.Exists || !v.Current {
		s.absent = false
		return false
	}
	if !s.absent {
		s.absent, s.absentSince = true, now
	}
	return now-max(s.absentSince, s.earliest) >= delayOf(rank(self, role, candidates()))
}

// rank returns the place of a candidate in the order of the role.
func rank(self, role string, candidates []string) int {
	own := policy.AssignScore(role, self)
	n := 0
	for _, c := range candidates {
		if c != self && policy.AssignScore(role, c) > own {
			n++
		}
	}
	return n
}

func delayOf(rank int) time.Duration {
	return time.Duration(min(rank, nearRanks))*rankDelay + time.Duration(max(0, rank-nearRanks))*farRankDelay
}
