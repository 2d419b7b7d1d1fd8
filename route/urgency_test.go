package route

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawConfig draws a configuration whose customers and routes have priorities from 0
// to most; some customers have none.
func drawConfig(t *rapid.T, most int) *Config {
	c := &Config{}
	priority := rapid.IntRange(0, most)
	for range rapid.IntRange(1, 6).Draw(t, "routes") {
		c.Routes = append(c.Routes, Route{Priority: priority.Draw(t, "route")})
	}
	for range rapid.IntRange(0, 6).Draw(t, "customers") {
		customer := Customer{}
		if rapid.Bool().Draw(t, "has priority") {
			p := priority.Draw(t, "customer")
			customer.Priority = &p
		}
		c.Customers = append(c.Customers, customer)
	}
	return c
}

// before reports whether the requests of customer a on route r come before those of
// customer b on route s.
func before(a *Customer, r *Route, b *Customer, s *Route) bool {
	first, second := r.Priority, s.Priority
	if a.Priority != nil {
		first = *a.Priority
	}
	if b.Priority != nil {
		second = *b.Priority
	}
	if first != second {
		return first < second
	}
	return r.Priority < s.Priority
}

// TestUrgencyFollowsCustomerThenRoute checks the order of all pairs of requests. It is
// strict as long as the configuration has few enough levels.
func TestUrgencyFollowsCustomerThenRoute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t, rapid.IntRange(0, 7).Draw(t, "most"))
		table := Compile(c)
		strict := len(table.urgencies) <= MaxUrgency+1
		for _, a := range c.Customers {
			for _, b := range c.Customers {
				for _, r := range c.Routes {
					for _, s := range c.Routes {
						first, second := table.Urgency(&a, &r), table.Urgency(&b, &s)
						if first < 0 || first > MaxUrgency {
							t.Fatalf("urgency %d", first)
						}
						if before(&a, &r, &b, &s) && (first > second || strict && first == second) {
							t.Fatalf("urgency %d before %d", first, second)
						}
					}
				}
			}
		}
	})
}

// TestRoutesRankByTheirPriorityWithoutCustomers checks that eight tiers of routes stay
// apart.
func TestRoutesRankByTheirPriorityWithoutCustomers(t *testing.T) {
	c := &Config{}
	const tiers = 8
	for i := range tiers {
		c.Routes = append(c.Routes, Route{Priority: i})
	}
	table := Compile(c)
	for i := range tiers {
		assert.Equal(t, table.Urgency(nil, &c.Routes[i]), i)
	}
}
