package autoscale

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/election"
)

// serviceState is what the controller keeps about a service.
type serviceState struct {
	demand Demand
	// term is the term that the fields below belong to.
	term *election.Term
	// planned is the number of servers that the last plan was made for.
	planned int
	orders  map[subject]placed
	// unavailable holds the domains in which no more reclaimable servers are available, and until when.
	unavailable map[string]time.Duration
	status      Status
	loggedAt    time.Duration
}

// subject is what an order is about.
type subject struct {
	domain string
	kind   Kind
}

// placed is an order that was sent.
type placed struct {
	count int
	at    time.Duration
}

// begin prepares the state for planning in a term. It returns false if nothing is to be planned: the local daemon doesn't
// lead, or it has seen no demand yet and may not know all servers.
func (s *serviceState) begin(term *election.Term, now time.Duration, demandKnown, hasServers bool) bool {
	if term == nil {
		s.term = nil
		return false
	}
	if !demandKnown && (!hasServers || now-term.Since < settleTime) {
		return false
	}
	if term != s.term {
		s.term, s.orders, s.planned, s.unavailable = term, map[subject]placed{}, 0, map[string]time.Duration{}
	}
	return true
}

// updatePlanned sets the number of servers to plan for. Without servers there is no demand to see, and the number stays.
func (s *serviceState) updatePlanned(domains []Domain, b Bounds, use Use, needed int, demandKnown bool) {
	if s.planned == 0 {
		// A plan of an earlier leader may have been carried out already.
		s.planned = max(needed, leftWithoutOne(present(domains)))
	}
	if use.Servers > 0 && (demandKnown || needed > s.planned) {
		s.planned = Steady(s.planned, needed)
	}
	s.planned = min(s.planned, b.Max*len(domains))
}

// present returns the servers that get requests, as a plan.
func present(domains []Domain) []Target {
	var out []Target
	for _, d := range domains {
		out = append(out, d.Ready)
	}
	return out
}

// noteReclaimed marks the domains whose reclaimable servers are being taken away.
func (s *serviceState) noteReclaimed(servers []*backend.Server, now, boot time.Duration) {
	for _, server := range servers {
		if server.Reclaimed {
			s.unavailable[server.Domain] = max(s.unavailable[server.Domain], now+retryBoots*boot)
		}
	}
}

// domains returns what is known of each failure domain, in the order of names.
func (s *serviceState) domains(service *Service, servers []*backend.Server, now time.Duration) []Domain {
	byName := map[string]*Domain{}
	domain := func(name string) *Domain {
		if byName[name] == nil {
			price, ok := service.Prices[name]
			if !ok {
				price = 1
			}
			byName[name] = &Domain{Name: name, Price: price, Unavailable: now < s.unavailable[name]}
		}
		return byName[name]
	}
	for name := range service.Prices {
		domain(name)
	}
	for _, server := range servers {
		if !server.Draining {
			domain(server.Domain).Ready[kindOf(server)]++
		}
	}
	var out []Domain
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		d := byName[name]
		for _, k := range Kinds {
			d.Ordered[k] = s.ordered(subject{name, k}, d, now, service.Boot)
		}
		out = append(out, *d)
	}
	return out
}

// ordered returns the number of servers that are on order or there. Orders that didn't lead to servers in time, and those for
// servers that have been taken away, don't count.
func (s *serviceState) ordered(about subject, d *Domain, now, boot time.Duration) int {
	o, ok := s.orders[about]
	present := d.Ready[about.kind]
	switch {
	case !ok:
		return present
	case o.count > present && now-o.at > boot+arrivalMargin:
		return present
	case about.kind == Reclaimable && d.Unavailable:
		return min(o.count, present)
	}
	return o.count
}

func kindOf(s *backend.Server) Kind {
	if s.Reclaimable {
		return Reclaimable
	}
	return OnDemand
}

func domainStatus(domains []Domain, targets []Target) []DomainStatus {
	var out []DomainStatus
	for i, d := range domains {
		for _, k := range Kinds {
			out = append(out, DomainStatus{
				Domain: d.Name, Kind: k.String(), Target: targets[i][k], Ordered: d.Ordered[k], Ready: d.Ready[k],
				Unavailable: k == Reclaimable && d.Unavailable,
			})
		}
	}
	return out
}
