package route

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Class describes the requests of one urgency that a configuration lets a service get.
type Class struct {
	// Urgency is the rank of the requests at the servers, from 0, the most urgent.
	Urgency int
	// Priority is the one that decides first: that of the customers, or of the route for customers without one.
	Priority int
	// Target is the shortest latency objective of the requests.
	Target time.Duration
	// Tight is set if requests have the smallest gap target of the service.
	Tight bool
}

// Classes returns the classes of a service, the most urgent first. The caller must not modify them.
func (t *Table) Classes(service string) []Class { return t.classes[service] }

// compileClasses returns the classes of all services. The urgencies and gap targets of the table must be known.
func (t *Table) compileClasses(c *Config) map[string][]Class {
	customers, _ := priorities(c)
	byService := map[string]map[int]Class{}
	for _, r := range c.Routes {
		for _, s := range r.Shares {
			if byService[s.Service] == nil {
				byService[s.Service] = map[int]Class{}
			}
			for _, l := range levelsOf(customers, r.Priority) {
				t.addClass(byService[s.Service], l, &r, s.Service)
			}
		}
	}
	out := map[string][]Class{}
	for service, classes := range byService {
		out[service] = slices.SortedFunc(maps.Values(classes), func(a, b Class) int { return cmp.Compare(a.Urgency, b.Urgency) })
	}
	return out
}

// levelsOf returns the levels of requests on a route: that of customers without a priority, and those of the others.
func levelsOf(customers map[int]bool, route int) []level {
	levels := []level{levelOf(nil, route)}
	for p := range customers {
		levels = append(levels, levelOf(&p, route))
	}
	return levels
}

// addClass adds the requests of a level on a route to the classes of a service, by urgency.
func (t *Table) addClass(classes map[int]Class, l level, r *Route, service string) {
	added := Class{
		Urgency: t.urgencies[l], Priority: l.customer, Target: r.Target,
		Tight: r.GapTarget > 0 && r.GapTarget <= t.MinGapTarget(service),
	}
	if known, ok := classes[added.Urgency]; ok {
		added.Priority = max(added.Priority, known.Priority)
		added.Target = min(added.Target, known.Target)
		added.Tight = added.Tight || known.Tight
	}
	classes[added.Urgency] = added
}
