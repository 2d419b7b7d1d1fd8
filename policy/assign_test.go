package policy

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%03d", prefix, i)
	}
	return out
}

func TestAssignMovesOnlyTheServersOfALeaver(t *testing.T) {
	servers := names("s", 650)
	daemons := names("d", 41)
	before := AssignAll(servers, daemons)
	after := AssignAll(servers, daemons[:40])
	for i := range servers {
		assert.Equal(t, before[i], Assign(servers[i], daemons))
		if before[i] != daemons[40] {
			assert.Equal(t, after[i], before[i])
		}
	}
}

func TestAssignIgnoresOrder(t *testing.T) {
	assert.Equal(t, Assign("s", []string{"a", "b", "c"}), Assign("s", []string{"c", "a", "b"}))
	assert.Equal(t, Assign("s", nil), "")
}

func TestAssignmentListsDistinctOwners(t *testing.T) {
	a := NewAssignment(names("s", 100), names("d", 3))
	assert.DeepEqual(t, a.Schedulers, names("d", 3))
	assert.Assert(t, a.PreferredServer(7) >= 0)
	assert.Equal(t, len(NewAssignment(names("s", 2), nil).Schedulers), 0)
}
