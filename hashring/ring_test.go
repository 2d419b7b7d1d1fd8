package hashring

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("daemon-", i))
	}
	return out
}

// TestOwnersKeepTheirOrderWhenADaemonLeaves checks that a leaving daemon changes the owners
// of a key only by its own absence.
func TestOwnersKeepTheirOrderWhenADaemonLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(1, 20).Draw(t, "daemons"))
		hash := rapid.Uint64().Draw(t, "hash")
		n := rapid.IntRange(0, 5).Draw(t, "n")
		before := New(all).Owners(hash, n+1)
		left := rapid.SampledFrom(all).Draw(t, "left")
		after := New(slices.DeleteFunc(slices.Clone(all), func(d string) bool { return d == left })).Owners(hash, n)
		want := slices.DeleteFunc(slices.Clone(before), func(d string) bool { return d == left })
		assert.DeepEqual(t, after, want[:min(n, len(want))])
		if len(before) > 0 {
			assert.Equal(t, New(all).Owner(hash), before[0])
		}
	})
}

func TestOwnersAreDistinctAndAllDaemonsOwnKeys(t *testing.T) {
	const daemons, keys = 50, 5000
	r := New(names(daemons))
	owned := map[string]int{}
	for key := range uint64(keys) {
		owners := r.Owners(key*0x9e3779b97f4a7c15, 3)
		slices.Sort(owners)
		assert.Equal(t, len(slices.Compact(owners)), 3)
		owned[r.Owner(key*0x9e3779b97f4a7c15)]++
	}
	assert.Equal(t, len(owned), daemons)
	assert.Equal(t, New(nil).Owner(1), "")
	assert.Equal(t, len(New(nil).Owners(1, 3)), 0)
}
