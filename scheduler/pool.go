package scheduler

import (
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/policy"
)

// reservation is a request that waits for a slot.
type reservation struct {
	key      requestKey
	tier     int
	class    string
	customer string
	deadline time.Time
	avoid    []string
	seq      uint64
}

// server is a backend server that this daemon schedules.
type server struct {
	name    string
	slots   int
	used    int
	leaving bool
}

// pool holds the servers of a pool that this daemon schedules and the
// reservations that wait for them.
type pool struct {
	name    string
	servers []*server
	waiting []*reservation
	seq     uint64
}

// PoolServers returns the names of a pool's servers in the local region,
// sorted. Gateways and schedulers assign the same list.
func PoolServers(view membership.View, p *bundle.Pool) []string {
	region := view.Self().Region
	var names []string
	for _, s := range view.Servers(p.Service) {
		if s.Region == region && p.Holds(s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

func (p *pool) server(name string) *server {
	for _, s := range p.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

func (p *pool) find(key requestKey) int {
	return slices.IndexFunc(p.waiting, func(r *reservation) bool { return r.key == key })
}

// insert keeps the queue sorted by tier, deadline and arrival.
func (p *pool) insert(r *reservation) {
	if r.seq == 0 {
		p.seq++
		r.seq = p.seq
	}
	i, _ := slices.BinarySearchFunc(p.waiting, r, before)
	p.waiting = slices.Insert(p.waiting, i, r)
}

func before(a, b *reservation) int {
	switch {
	case a.tier != b.tier:
		return a.tier - b.tier
	case !a.deadline.Equal(b.deadline):
		return a.deadline.Compare(b.deadline)
	case a.seq < b.seq:
		return -1
	default:
		return 1
	}
}

func (p *pool) remove(key requestKey) bool {
	i := p.find(key)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// next takes the first reservation that fits a free slot.
func (p *pool) next() (*reservation, *server) {
	for i, r := range p.waiting {
		s := p.freest(r.avoid)
		if s == nil {
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		return r, s
	}
	return nil, nil
}

func (p *pool) freest(avoid []string) *server {
	var best *server
	for _, s := range p.servers {
		if s.leaving || s.used >= s.slots || slices.Contains(avoid, s.name) {
			continue
		}
		if best == nil || s.used*best.slots < best.used*s.slots {
			best = s
		}
	}
	return best
}

// refresh brings the pools in line with the bundle and the membership.
func (s *Service) refresh(now time.Time) {
	active := s.cfg.Bundles.Current()
	if active == nil || s.stopped {
		return
	}
	for i := range active.Bundle.Pools {
		s.refreshPool(&active.Bundle.Pools[i])
	}
	s.dropLostGateways()
	s.grantAll(now)
}

func (s *Service) refreshPool(b *bundle.Pool) {
	p := s.pools[b.Name]
	if p == nil {
		p = &pool{name: b.Name}
		s.pools[b.Name] = p
	}
	names := PoolServers(s.cfg.View, b)
	owners := policy.Owners(names, s.cfg.View.Schedulers())
	self := s.cfg.Bus.Self()
	var owned []*server
	for i, name := range names {
		if owners[i] != self {
			continue
		}
		srv := p.server(name)
		if srv == nil {
			srv = &server{name: name, slots: max(1, b.Slots), used: s.ledger.used(name)}
		}
		info, ok := s.cfg.View.Server(name)
		srv.leaving = !ok || info.Leaving
		owned = append(owned, srv)
	}
	p.servers = owned
}

// used counts the slots of a server in the ledger.
func (l *ledger) used(server string) int {
	n := 0
	for _, e := range l.grants {
		if e.server == server {
			n++
		}
	}
	for _, e := range l.running {
		if e.server == server {
			n++
		}
	}
	return n
}
