package route

import (
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// Table looks up the routes, services and customers of one configuration.
type Table struct {
	version   Version
	limits    Limits
	byHost    map[string][]*Route
	services  map[string]*Service
	customers map[string]*Customer
	// urgencies holds the urgency of each level of requests.
	urgencies map[level]int
	// minGapTargets holds the smallest gap target of each service's streams.
	minGapTargets map[string]time.Duration
	// keyed is set if routes that aren't anonymous require an API key.
	keyed bool
}

// Compile builds the table of a configuration. The table copies the entries of
// c.Routes, c.Services and c.Customers, so the caller may replace them.
func Compile(c *Config) *Table {
	t := &Table{
		version:       c.Version,
		limits:        c.Limits,
		byHost:        map[string][]*Route{},
		services:      make(map[string]*Service, len(c.Services)),
		customers:     map[string]*Customer{},
		urgencies:     urgencies(c),
		minGapTargets: map[string]time.Duration{},
		keyed:         c.Keyed || len(c.Customers) > 0,
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &r)
		t.recordGapTarget(&r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = &s
	}
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			t.customers[key] = &customer
		}
	}
	return t
}

// recordGapTarget lowers the minimum gap targets of the route's services to the
// gap target of the route.
func (t *Table) recordGapTarget(r *Route) {
	if r.GapTarget <= 0 {
		return
	}
	for _, s := range r.Shares {
		if known, ok := t.minGapTargets[s.Service]; !ok || r.GapTarget < known {
			t.minGapTargets[s.Service] = r.GapTarget
		}
	}
}

// MinGapTarget returns the smallest gap target among the streams of a service,
// or zero if none has one.
func (t *Table) MinGapTarget(service string) time.Duration { return t.minGapTargets[service] }

// Services returns the services of the configuration, in no order.
func (t *Table) Services() []*Service { return slices.Collect(maps.Values(t.services)) }

// Version returns the version of the configuration.
func (t *Table) Version() Version { return t.version }

// Limits returns the limits for callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Size returns the number of routes and of API keys.
func (t *Table) Size() (routes, keys int) {
	for _, list := range t.byHost {
		routes += len(list)
	}
	return routes, len(t.customers)
}

// Match returns the route of the host with the longest prefix of path, or nil
// if there is none. The host may include a port; the path must not include a
// query.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns the host in lower case and without a port.
func hostName(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Customer returns the customer that owns an API key.
func (t *Table) Customer(key string) (*Customer, bool) {
	c, ok := t.customers[key]
	return c, ok
}

// NeedsKey reports whether requests on a route need an API key.
func (t *Table) NeedsKey(r *Route) bool { return t.keyed && !r.Anonymous }

// Keyed reports whether routes that aren't anonymous require an API key.
func (t *Table) Keyed() bool { return t.keyed }

// Pick returns the service for a request, chosen by weight. The point must be
// uniformly distributed in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	rest := point * float64(total)
	for _, s := range r.Shares {
		rest -= float64(s.Weight)
		if rest < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
