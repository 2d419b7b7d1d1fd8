// Package entrydir selects the daemons that a caller should connect to and serves
// their addresses over HTTP.
package entrydir

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/jacinththread/jacinththread/membership"
)

const (
	// A daemon in the caller's failure domain is no longer preferred if its load
	// exceeds both overloadFactor times the mean load of the region and that mean
	// plus overloadMargin requests.
	overloadFactor = 2
	overloadMargin = 16
)

// Entry is the address of a daemon that accepts callers.
type Entry struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
}

// rank is the preference class of a candidate; lower ranks come first.
type rank int

const (
	sameDomain rank = iota
	sameRegion
	otherRegion
	// lastResort is for daemons that are suspected or have no bundle yet.
	lastResort
)

// candidate is a daemon with its sort keys.
type candidate struct {
	daemon *membership.Daemon
	rank   rank
	// sortKey orders the candidates of a rank. It is a random value from an
	// exponential distribution whose mean grows with the load.
	sortKey float64
}

// Order returns up to count addresses for a caller in a failure domain, the most
// preferred first. Daemons that are leaving or dead are omitted; those that are
// suspected or have no bundle come last. Within a rank the order is random and
// weighted towards low load, which spreads callers over the daemons. If possible,
// the addresses cover more than one failure domain.
func Order(daemons []membership.Daemon, domain string, count int, rng *rand.Rand) []Entry {
	region := regionOf(daemons, domain)
	limit := loadLimit(daemons, region)
	candidates := make([]candidate, 0, len(daemons))
	bundleKnown := anyBundle(daemons)
	for i := range daemons {
		d := &daemons[i]
		if d.CallerAddr == "" || d.State != membership.Alive && d.State != membership.Suspect {
			continue
		}
		c := candidate{daemon: d, sortKey: rng.ExpFloat64() * float64(1+d.Load)}
		c.rank = rankOf(d, domain, region, limit)
		if d.State == membership.Suspect || bundleKnown && d.BundleVersion == 0 {
			c.rank = lastResort
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, compareCandidates)
	return entries(pick(candidates, count))
}

// compareCandidates orders candidates by rank, then by sort key.
func compareCandidates(a, b candidate) int {
	if a.rank != b.rank {
		return int(a.rank - b.rank)
	}
	switch {
	case a.sortKey < b.sortKey:
		return -1
	case a.sortKey > b.sortKey:
		return 1
	}
	return 0
}

// rankOf returns the rank of an alive daemon for a caller in the given failure
// domain and region. Daemons above the load limit get no preference for being in
// the caller's failure domain. All daemons have the same rank for a caller that
// names no domain.
func rankOf(d *membership.Daemon, domain, region string, limit float64) rank {
	switch {
	case domain == "":
		return sameRegion
	case d.Domain == domain && float64(d.Load) <= limit:
		return sameDomain
	case d.Region == region:
		return sameRegion
	}
	return otherRegion
}

// regionOf returns the region of a failure domain, or "" if no daemon is in it.
func regionOf(daemons []membership.Daemon, domain string) string {
	for _, d := range daemons {
		if d.Domain == domain {
			return d.Region
		}
	}
	return ""
}

// loadLimit returns the load, in requests, up to which a daemon in the caller's
// failure domain is preferred.
func loadLimit(daemons []membership.Daemon, region string) float64 {
	var sum, n float64
	for _, d := range daemons {
		if d.Region == region && d.State == membership.Alive {
			sum += float64(d.Load)
			n++
		}
	}
	if n == 0 {
		return math.Inf(1)
	}
	return max(overloadFactor*sum/n, sum/n+overloadMargin)
}

// anyBundle reports whether any daemon has a bundle. If none has, the lack of one
// does not lower a daemon's rank.
func anyBundle(daemons []membership.Daemon) bool {
	return slices.ContainsFunc(daemons, func(d membership.Daemon) bool { return d.BundleVersion > 0 })
}

// pick returns the first count candidates. If all of them are in one failure domain,
// the last one is replaced by the best candidate of another domain, so that the
// caller can still connect if the first domain fails. Daemons of rank lastResort do
// not count as another domain. It may modify c.
func pick(c []candidate, count int) []candidate {
	if len(c) <= count {
		return c
	}
	picked := c[:count]
	if count < 2 {
		return picked
	}
	firstDomain := picked[0].daemon.Domain
	other := func(x candidate) bool { return x.daemon.Domain != firstDomain && x.rank != lastResort }
	if slices.ContainsFunc(picked, other) {
		return picked
	}
	if i := slices.IndexFunc(c[count:], other); i >= 0 {
		picked[count-1] = c[count+i]
	}
	return picked
}

func entries(c []candidate) []Entry {
	out := make([]Entry, len(c))
	for i := range c {
		d := c[i].daemon
		out[i] = Entry{Name: d.Name, Addr: d.CallerAddr, Domain: d.Domain}
	}
	return out
}
