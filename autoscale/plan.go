package autoscale

import (
	"cmp"
	"math"
	"slices"
)

const (
	// onDemandShare is the share of the needed servers that are not reclaimable: they serve the most urgent
	// requests if the reclaimable ones of several domains are taken away within one boot time.
	onDemandShare = 0.1
	// surviveShare is the share of the needed servers that is left when all reclaimable ones of a domain are taken
	// away: what is needed leaves room for growth while servers start, and so for the time until others have started.
	surviveShare = 0.8
	// keepShare is how far below the present plan a need must be for the plan to shrink, growShare by how much the
	// plan grows at least, so that a rising need doesn't lead to an order for each server.
	keepShare = 0.85
	growShare = 1.1
)

// Kind is a kind of server.
type Kind uint8

// Kinds of servers.
const (
	OnDemand Kind = iota
	Reclaimable
)

// String returns the name of the kind as used in logs.
func (k Kind) String() string {
	if k == Reclaimable {
		return "reclaimable"
	}
	return "on-demand"
}

// Kinds lists the kinds.
var Kinds = []Kind{OnDemand, Reclaimable}

// Domain is what is known of a service's servers in a failure domain.
type Domain struct {
	Name string
	// Price is that of a server's second, relative to other domains.
	Price float64
	// Ready is the number of servers that get requests, by kind.
	Ready [2]int
	// Ordered is the number last ordered, by kind. It is that of Ready if nothing was ordered.
	Ordered [2]int
	// Unavailable is set if no more reclaimable servers are available at present.
	Unavailable bool
}

// Bounds are those of a service.
type Bounds struct {
	// Min and Max bound the servers of both kinds in each domain.
	Min, Max int
	// ReclaimablePrice is the price of a reclaimable server relative to an on-demand one; zero means that there are
	// none.
	ReclaimablePrice float64
}

// Target is the number of servers of each kind in a domain.
type Target [2]int

// Plan returns the number of servers that should run in each domain: at least those that are needed, and enough without the
// reclaimable ones of any one domain. Where reclaimable servers are not available, on-demand ones replace them.
func Plan(domains []Domain, b Bounds, needed int) []Target {
	targets := make([]Target, len(domains))
	base := needed
	if b.ReclaimablePrice > 0 && b.ReclaimablePrice < 1 {
		base = int(math.Ceil(onDemandShare * float64(needed)))
	}
	spreadOnDemand(targets, domains, b, base)
	if base < needed {
		spreadReclaimable(targets, domains, b, needed)
	}
	spreadOnDemand(targets, domains, b, lack(targets, needed))
	fillMinimum(targets, domains, b)
	return targets
}

// lack returns how many on-demand servers are missing from a plan for the needed ones; zero or less if none are.
func lack(targets []Target, needed int) int {
	survive := int(math.Ceil(surviveShare * float64(needed)))
	return max(needed-total(targets), survive-leftWithoutOne(targets))
}

func total(targets []Target) int {
	n := 0
	for _, t := range targets {
		n += t[OnDemand] + t[Reclaimable]
	}
	return n
}

// leftWithoutOne returns the servers left without the reclaimable ones of the domain that has most.
func leftWithoutOne(targets []Target) int {
	most := 0
	for _, t := range targets {
		most = max(most, t[Reclaimable])
	}
	return total(targets) - most
}

// spreadOnDemand adds on-demand servers one by one where there are fewest, the cheapest domain first.
func spreadOnDemand(targets []Target, domains []Domain, b Bounds, n int) {
	for range max(0, n) {
		i := fewest(targets, domains, func(i int) bool { return targets[i][OnDemand]+targets[i][Reclaimable] < b.Max })
		if i < 0 {
			return
		}
		targets[i][OnDemand]++
	}
}

// fewest returns the domain with the fewest on-demand servers among those that are allowed, or -1.
func fewest(targets []Target, domains []Domain, allowed func(int) bool) int {
	var open []int
	for i := range domains {
		if allowed(i) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	return slices.MinFunc(open, func(a, b int) int {
		return cmp.Or(cmp.Compare(targets[a][OnDemand], targets[b][OnDemand]), cmp.Compare(domains[a].Price, domains[b].Price))
	})
}

// spreadReclaimable sets the same number of reclaimable servers in all domains, as far as they are available, until nothing
// is missing from the plan.
func spreadReclaimable(targets []Target, domains []Domain, b Bounds, needed int) {
	for level := 1; level <= b.Max && lack(targets, needed) > 0; level++ {
		for i := range domains {
			targets[i][Reclaimable] = min(level, roomFor(&domains[i], b, targets[i][OnDemand]))
		}
	}
}

// roomFor returns the largest number of reclaimable servers that a domain may have.
func roomFor(d *Domain, b Bounds, onDemand int) int {
	room := max(0, b.Max-onDemand)
	if d.Unavailable {
		room = min(room, d.Ready[Reclaimable])
	}
	return room
}

// fillMinimum raises domains to the minimum.
func fillMinimum(targets []Target, domains []Domain, b Bounds) {
	for i := range domains {
		if lack := b.Min - targets[i][OnDemand] - targets[i][Reclaimable]; lack > 0 {
			targets[i][OnDemand] += lack
		}
	}
}

// Order is a number of servers of a kind in a domain.
type Order struct {
	Domain string
	Kind   Kind
	Count  int
}

// Orders returns the orders that lead to the targets. Servers are removed only as far as those that are ready stay enough
// without any one domain, and not at all if mayShrink isn't set.
func Orders(domains []Domain, targets []Target, b Bounds, needed int, mayShrink bool) []Order {
	keep := make([]Target, len(domains))
	for i := range domains {
		keep[i] = domains[i].Ready
	}
	if mayShrink {
		removeSurplus(keep, targets, needed-max(0, lack(targets, needed)))
	}
	var orders []Order
	for i := range domains {
		for _, k := range Kinds {
			if n, ok := domains[i].next(k, targets[i][k], keep[i][k], b.Max); ok {
				orders = append(orders, Order{Domain: domains[i].Name, Kind: k, Count: n})
			}
		}
	}
	return orders
}

// removeSurplus lowers the servers that are kept towards the targets as far as nothing is missing for the needed ones.
func removeSurplus(keep, targets []Target, needed int) {
	for lowered := true; lowered; {
		lowered = false
		for i := range keep {
			for _, k := range Kinds {
				if keep[i][k] <= targets[i][k] {
					continue
				}
				keep[i][k]--
				if lack(keep, needed) > 0 {
					keep[i][k]++
					continue
				}
				lowered = true
			}
		}
	}
}

// next returns the number of servers of a kind to order now, if that is another one than was last ordered. As long as
// servers of the other kind take up room, fewer than the target are.
func (d *Domain) next(k Kind, target, keep, most int) (int, bool) {
	if target < d.Ordered[k] {
		n := max(target, keep)
		return n, n < d.Ordered[k] && d.Ordered[k] <= d.Ready[k]
	}
	n := max(d.Ordered[k], min(target, most-d.Ordered[1-k]))
	return n, n > d.Ordered[k]
}

// Steady returns the number of servers to plan for: it grows with the need and shrinks when the need is well below the
// present number.
func Steady(present, needed int) int {
	switch {
	case needed > present:
		return max(needed, int(math.Ceil(growShare*float64(present))))
	case float64(needed) < keepShare*float64(present):
		return needed
	}
	return present
}
