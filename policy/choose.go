package policy

import (
	"math/rand/v2"
	"slices"
)

// Why a few reservations for each request: with late binding the request waits
// at d schedulers and takes the first slot granted, so a poor choice of one
// scheduler costs little. One of the d is chosen by prefix affinity, so that
// equal prompts meet the same prompt cache; the others are random, so that no
// two gateways choose in step.

// Choose returns up to d distinct schedulers of a pool for a request. The
// first is the owner of the server that the prefix maps to; the rest are
// random. A prefix of zero has no affinity.
func Choose(a Assignment, prefix uint64, d int, rnd *rand.Rand) []string {
	n := len(a.Schedulers)
	d = min(d, n)
	if d <= 0 {
		return nil
	}
	chosen := make([]string, 0, d)
	if i := a.PreferredServer(prefix); prefix != 0 && i >= 0 {
		chosen = append(chosen, a.Owners[i])
	}
	return appendRandom(chosen, a.Schedulers, d, rnd)
}

// Widen returns further schedulers to ask before a request of the tier is
// refused. The highest tier asks all of them, each lower tier half as many,
// and the lowest tier none.
func Widen(a Assignment, asked []string, tier, lowest int, rnd *rand.Rand) []string {
	if tier >= lowest && tier > 0 {
		return nil
	}
	rest := slices.DeleteFunc(slices.Clone(a.Schedulers), func(s string) bool {
		return slices.Contains(asked, s)
	})
	more := len(rest) >> min(max(tier, 0), 16)
	return appendRandom(nil, rest, more, rnd)
}

// appendRandom adds names that are not in chosen until it holds d.
func appendRandom(chosen, names []string, d int, rnd *rand.Rand) []string {
	for _, i := range rnd.Perm(len(names)) {
		if len(chosen) >= d {
			break
		}
		if !slices.Contains(chosen, names[i]) {
			chosen = append(chosen, names[i])
		}
	}
	return chosen
}
