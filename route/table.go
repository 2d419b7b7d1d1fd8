package route

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Table finds routes, services and customers of one configuration.
type Table struct {
	version   Version
	limits    Limits
	byHost    map[string][]*Route
	services  map[string]*Service
	customers map[string]*Customer
	// tightest holds the shortest pause objective of each service's streams.
	tightest map[string]time.Duration
	keyed    bool
}

// Compile builds the table of a configuration. It keeps no reference to c's
// slices that the caller may change.
func Compile(c *Config) *Table {
	t := &Table{
		version:   c.Version,
		limits:    c.Limits,
		byHost:    map[string][]*Route{},
		services:  make(map[string]*Service, len(c.Services)),
		customers: map[string]*Customer{},
		tightest:  map[string]time.Duration{},
		keyed:     len(c.Customers) > 0,
	}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], &r)
		t.noteGap(&r)
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

// noteGap takes over the pause objective of a route for its services.
func (t *Table) noteGap(r *Route) {
	if r.GapTarget <= 0 {
		return
	}
	for _, s := range r.Shares {
		if known, ok := t.tightest[s.Service]; !ok || r.GapTarget < known {
			t.tightest[s.Service] = r.GapTarget
		}
	}
}

// TightestGap returns the shortest pause objective among the streams of a
// service, or zero.
func (t *Table) TightestGap(service string) time.Duration { return t.tightest[service] }

// Version returns the version of the configuration.
func (t *Table) Version() Version { return t.version }

// Limits returns the bounds on requests.
func (t *Table) Limits() Limits { return t.limits }

// Size returns the number of routes and keys.
func (t *Table) Size() (routes, keys int) {
	for _, list := range t.byHost {
		routes += len(list)
	}
	return routes, len(t.customers)
}

// Match returns the route of the host whose prefix is the longest that begins
// the path, or nil. The host may carry a port; the path carries no query.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns a host in lower case and without its port.
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

// Customer returns the customer that holds a key.
func (t *Table) Customer(key string) (*Customer, bool) {
	c, ok := t.customers[key]
	return c, ok
}

// NeedsKey reports whether requests on a route need a customer's key.
func (t *Table) NeedsKey(r *Route) bool { return t.keyed && !r.Anonymous }

// Pick returns the service for a request: point is uniform in [0, 1).
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
