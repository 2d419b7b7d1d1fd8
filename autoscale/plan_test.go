package autoscale

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawDomains draws domains and the bounds of a service in them.
func drawDomains(t *rapid.T) ([]Domain, Bounds) {
	b := Bounds{Min: rapid.IntRange(0, 3).Draw(t, "min"), ReclaimablePrice: rapid.SampledFrom([]float64{0, 0.22, 0.9}).Draw(t, "price")}
	b.Max = b.Min + rapid.IntRange(0, 60).Draw(t, "room")
	var domains []Domain
	for i := range rapid.IntRange(1, 5).Draw(t, "domains") {
		domains = append(domains, Domain{
			Name: fmt.Sprint("domain-", i), Price: rapid.Float64Range(0.5, 2).Draw(t, "domain's price"),
			Ready:       [2]int{rapid.IntRange(0, b.Max).Draw(t, "on-demand"), rapid.IntRange(0, b.Max).Draw(t, "reclaimable")},
			Unavailable: rapid.Bool().Draw(t, "unavailable"),
		})
	}
	return domains, b
}

// TestPlanLeavesEnoughWithoutAnyDomain guards against a plan in which too few servers are left when the reclaimable ones of a
// domain are taken away, unless the bounds allow no more.
func TestPlanLeavesEnoughWithoutAnyDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains, b := drawDomains(t)
		needed := rapid.IntRange(0, 200).Draw(t, "needed")
		targets := Plan(domains, b, needed)
		full := true
		for i, target := range targets {
			sum := target[OnDemand] + target[Reclaimable]
			assert.Assert(t, sum <= b.Max && sum >= b.Min, "%v is out of bounds", target)
			assert.Assert(t, b.ReclaimablePrice > 0 || target[Reclaimable] == 0)
			assert.Assert(t, !domains[i].Unavailable || target[Reclaimable] <= domains[i].Ready[Reclaimable], "asks for servers that are not available")
			full = full && sum == b.Max
		}
		assert.Assert(t, full || lack(targets, needed) <= 0, "%v leaves %d of %d", targets, leftWithoutOne(targets), needed)
	})
}

// TestPlanCostsLittleMoreThanNeeded guards against plans that pay for on-demand servers where reclaimable ones do.
func TestPlanCostsLittleMoreThanNeeded(t *testing.T) {
	b := Bounds{Min: 1, Max: 46, ReclaimablePrice: 0.22}
	domains := []Domain{{Name: "a", Price: 1}, {Name: "b", Price: 0.8}, {Name: "c", Price: 1.25}, {Name: "d", Price: 0.9}}
	for _, needed := range []int{8, 40, 90, 130} {
		cost := 0.0
		for i, target := range Plan(domains, b, needed) {
			cost += domains[i].Price * (float64(target[OnDemand]) + b.ReclaimablePrice*float64(target[Reclaimable]))
		}
		assert.Assert(t, cost < 0.5*float64(needed), "%d servers cost %.1f", needed, cost)
	}
}

// TestServersStayUntilTheirReplacementsAreReady guards against servers that are removed when others are only ordered, and
// against orders beyond the bounds while both kinds run.
func TestServersStayUntilTheirReplacementsAreReady(t *testing.T) {
	const needed = 30
	b := Bounds{Min: 1, Max: 20, ReclaimablePrice: 0.22}
	domains := []Domain{{Name: "a", Price: 1}, {Name: "b", Price: 1}, {Name: "c", Price: 1}}
	for i := range domains {
		domains[i].Ready[OnDemand], domains[i].Ordered[OnDemand] = 10, 10
	}
	targets := Plan(domains, b, needed)
	rounds := 0
	for ; rounds < 10; rounds++ {
		orders := Orders(domains, targets, b, needed, true)
		if len(orders) == 0 {
			break
		}
		assert.Equal(t, len(Orders(domains, targets, b, needed, false)) > 0, orders[0].Kind == Reclaimable, "servers are removed though the demand isn't known")
		for _, o := range orders {
			d := &domains[o.Domain[0]-'a']
			d.Ordered[o.Kind] = o.Count
			assert.Assert(t, d.Ordered[OnDemand]+d.Ordered[Reclaimable] <= b.Max, "%v", o)
			d.Ready[o.Kind] = min(d.Ready[o.Kind], o.Count)
		}
		assert.Assert(t, lack(present(domains), needed) <= 0, "too few are left: %v", domains)
		for i := range domains {
			domains[i].Ready = domains[i].Ordered
		}
	}
	assert.DeepEqual(t, present(domains), targets)
	assert.Assert(t, rounds > 1 && rounds < 6, "%d rounds", rounds)
}

// TestReclaimedServersAreMadeUpForElsewhere guards against a plan that counts on servers which are not available.
func TestReclaimedServersAreMadeUpForElsewhere(t *testing.T) {
	b := Bounds{Min: 1, Max: 46, ReclaimablePrice: 0.22}
	all := []Domain{{Name: "a", Price: 1}, {Name: "b", Price: 1}, {Name: "c", Price: 1}, {Name: "d", Price: 1}}
	before := Plan(all, b, 60)
	one := []Domain{{Name: "a", Price: 1, Unavailable: true}, all[1], all[2], all[3]}
	after := Plan(one, b, 60)
	assert.Equal(t, after[0][Reclaimable], 0)
	assert.Assert(t, after[1][Reclaimable] > before[1][Reclaimable])
	assert.Assert(t, lack(after, 60) <= 0)
	none := []Domain{}
	for i, d := range all {
		d.Unavailable, d.Ready = true, before[i]
		if i == 0 {
			d.Ready[Reclaimable] = 0
		}
		none = append(none, d)
	}
	dry := Plan(none, b, 60)
	assert.Assert(t, lack(dry, 60) <= 0, "%v", dry)
	assert.Assert(t, dry[0][OnDemand] > before[0][OnDemand], "%v", dry)
}
