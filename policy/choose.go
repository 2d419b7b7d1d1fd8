package policy

import (
	"math/rand/v2"
	"slices"
)

// Why a few reservations for each request: with late binding the request waits
// at d schedulers and takes the first slot granted, so a poor choice of one
// scheduler costs little. One of the d is chosen by prefix affinity, so that
// equal prompts meet the same prompt cache; the others are random, so that no
// two gateways choose in step, and in proportion to the servers they own.

// Choose returns up to n distinct schedulers of a pool for a request. The
// first is the owner of the server that the prefix maps to; the rest are
// random. A prefix of zero has no affinity. Schedulers are found through their
// servers; skip leaves out some, such as those asked before or that failed the
// request.
func Choose(a Assignment, prefix uint64, n int, skip func(scheduler, server string) bool, rnd *rand.Rand) []string {
	if n <= 0 || len(a.Schedulers) == 0 {
		return nil
	}
	var chosen []string
	add := func(i int) {
		name := a.Owners[i]
		if !slices.Contains(chosen, name) && !skip(name, a.Servers[i]) {
			chosen = append(chosen, name)
		}
	}
	if prefix != 0 {
		add(a.PreferredServer(prefix))
	}
	for _, i := range rnd.Perm(len(a.Servers)) {
		if len(chosen) >= n {
			break
		}
		add(i)
	}
	return chosen
}
