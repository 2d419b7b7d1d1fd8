package route

import (
	"maps"
	"slices"
)

// MaxUrgency is the largest urgency of a request, which is the least urgent.
const MaxUrgency = 9

// level is the rank of a request before it is mapped to an urgency. The priority of
// the customer decides first, then that of the route; lower values come first.
type level struct {
	customer int
	route    int
}

// levelOf returns the level of requests by the priorities of the customer and the
// route. A customer without a priority, which is nil, ranks like the route.
func levelOf(customer *int, route int) level {
	if customer == nil {
		return level{customer: route, route: route}
	}
	return level{customer: *customer, route: route}
}

func (l level) compare(other level) int {
	if l.customer != other.customer {
		return l.customer - other.customer
	}
	return l.route - other.route
}

// urgencies maps the levels that a configuration can produce to urgencies from 0, the
// most urgent, to MaxUrgency. The order of levels is kept; if there are more levels
// than urgencies, neighbouring levels share one.
func urgencies(c *Config) map[level]int {
	customers, routes := priorities(c)
	levels := map[level]bool{}
	for r := range routes {
		levels[levelOf(nil, r)] = true
		for p := range customers {
			levels[levelOf(&p, r)] = true
		}
	}
	out := make(map[level]int, len(levels))
	for i, l := range slices.SortedFunc(maps.Keys(levels), level.compare) {
		out[l] = i * (MaxUrgency + 1) / max(MaxUrgency+1, len(levels))
	}
	return out
}

// priorities returns the different priorities of customers and of routes.
func priorities(c *Config) (customers, routes map[int]bool) {
	customers, routes = map[int]bool{}, map[int]bool{}
	for _, customer := range c.Customers {
		if customer.Priority != nil {
			customers[*customer.Priority] = true
		}
	}
	for _, r := range c.Routes {
		routes[r.Priority] = true
	}
	return customers, routes
}

// Urgency returns the urgency of a customer's requests on a route, from 0, the most
// urgent, to MaxUrgency. The customer is nil for requests without an API key.
func (t *Table) Urgency(c *Customer, r *Route) int {
	if c == nil {
		return t.urgencies[levelOf(nil, r.Priority)]
	}
	return t.urgencies[levelOf(c.Priority, r.Priority)]
}
