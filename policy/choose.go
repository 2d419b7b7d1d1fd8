package policy

import (
	"math/rand/v2"
	"slices"
)

// Each request is reserved at several schedulers (late binding): it waits at n of
// them and takes the first slot granted, so a poor choice of one scheduler costs
// little. The first is chosen by prefix affinity, so that equal prompts reach the
// same prompt cache. The others are random, weighted by the number of servers
// that they own, so that gateways don't choose the same ones at the same time.

// Choose returns up to n distinct schedulers of a pool for a request. The
// first is the owner of the server that the prefix maps to; the others are
// random. A prefix of zero means no affinity. A pair of a scheduler and one of its
// servers for which skip returns true isn't considered, for example because the
// scheduler was asked before or the server failed the request.
func Choose(a Assignment, prefix uint64, n int, skip func(scheduler, server string) bool, rnd *rand.Rand) []string {
	if n <= 0 || len(a.Schedulers) == 0 {
		return nil
	}
	var chosen []string
	add := func(i int) {
		name := a.Daemons[i]
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
