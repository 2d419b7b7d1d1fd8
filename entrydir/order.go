// Package entrydir tells callers which daemons to connect to.
package entrydir

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/jacinththread/jacinththread/membership"
)

const (
	// overloadFactor and overloadMargin tell when a daemon of the caller's own
	// failure domain loses its preference: its load exceeds the mean of the
	// region by the factor and by the margin, in requests.
	overloadFactor = 2
	overloadMargin = 16
)

// Entry is one address for callers.
type Entry struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Domain string `json:"domain"`
}

// rank orders the candidates; lower is better.
type rank int

const (
	sameDomain rank = iota
	sameRegion
	elsewhere
	// doubtful daemons are suspected or hold no bundle yet.
	doubtful
)

// candidate is a daemon with its place in the order.
type candidate struct {
	daemon *membership.Daemon
	rank   rank
	// key orders the candidates of a rank. It is exponentially distributed
	// with a mean that grows with the load.
	key float64
}

// Order returns up to count addresses for a caller in a failure domain, the
// best first. Daemons that are leaving or dead are left out, doubtful ones come
// last. Within a rank the order is random and favours low load, so that callers
// spread. If possible the addresses lie in more than one failure domain.
func Order(daemons []membership.Daemon, domain string, count int, rng *rand.Rand) []Entry {
	region := regionOf(daemons, domain)
	limit := loadLimit(daemons, region)
	candidates := make([]candidate, 0, len(daemons))
	bundles := anyBundle(daemons)
	for i := range daemons {
		d := &daemons[i]
		if d.CallerAddr == "" || d.State != membership.Alive && d.State != membership.Suspect {
			continue
		}
		c := candidate{daemon: d, key: rng.ExpFloat64() * float64(1+d.Load)}
		c.rank = rankOf(d, domain, region, limit)
		if d.State == membership.Suspect || bundles && d.BundleVersion == 0 {
			c.rank = doubtful
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, compare)
	return entries(pick(candidates, count))
}

func compare(a, b candidate) int {
	if a.rank != b.rank {
		return int(a.rank - b.rank)
	}
	switch {
	case a.key < b.key:
		return -1
	case a.key > b.key:
		return 1
	}
	return 0
}

// rankOf ranks a healthy daemon for a caller.
func rankOf(d *membership.Daemon, domain, region string, limit float64) rank {
	switch {
	case domain == "":
		return sameRegion
	case d.Domain == domain && float64(d.Load) <= limit:
		return sameDomain
	case d.Region == region:
		return sameRegion
	}
	return elsewhere
}

// regionOf returns the region of a failure domain, or "".
func regionOf(daemons []membership.Daemon, domain string) string {
	for _, d := range daemons {
		if d.Domain == domain {
			return d.Region
		}
	}
	return ""
}

// loadLimit is the load up to which a daemon of the caller's failure domain is
// preferred.
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

func anyBundle(daemons []membership.Daemon) bool {
	return slices.ContainsFunc(daemons, func(d membership.Daemon) bool { return d.BundleVersion > 0 })
}

// pick returns the first count candidates. If they all lie in one failure
// domain, the best one of another takes the last place.
func pick(c []candidate, count int) []candidate {
	if len(c) <= count {
		return c
	}
	picked := c[:count]
	if count < 2 {
		return picked
	}
	first := picked[0].daemon.Domain
	other := func(x candidate) bool { return x.daemon.Domain != first && x.rank != doubtful }
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
