package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/membership"
)

// oneDaemon is a membership view that holds one daemon, d1.
type oneDaemon struct {
	membership.View
	incarnation uint64
}

func (v oneDaemon) Daemons() []membership.Daemon {
	return []membership.Daemon{{Name: "d1", Incarnation: v.incarnation}}
}

func TestOwnerIsAliveForOneRunOfItsDaemon(t *testing.T) {
	const started = 1_900_000_000_000
	owner := ownerName("d1", started)
	for _, c := range []struct {
		name        string
		incarnation uint64
		want        bool
	}{
		{"as started", firstIncarnation(started), true},
		{"after refuting suspicions of failure", firstIncarnation(started) + 5, true},
		{"view still has the previous run", firstIncarnation(started - 50), true},
		{"restarted a millisecond later", firstIncarnation(started + 1), false},
		{"restarted an hour later", firstIncarnation(started + 3_600_000), false},
	} {
		o := ownerChecker{view: oneDaemon{incarnation: c.incarnation}}
		assert.Equal(t, o.alive(owner), c.want, c.name)
	}
	o := ownerChecker{view: oneDaemon{incarnation: firstIncarnation(started)}}
	assert.Assert(t, !o.alive(ownerName("d2", started)), "not listed")
	assert.Assert(t, !o.alive("d1"), "malformed")
}
