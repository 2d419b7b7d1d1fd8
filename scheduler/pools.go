package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/policy"
)

// pool is a policy pool with its name and the servers that this daemon owns.
type pool struct {
	*policy.Pool
	name  string
	owned []policy.ServerSpec
}

// LocalPoolServers returns the names of a pool's servers in the local region,
// sorted. Gateways and schedulers both derive the owners of servers from this
// list.
func LocalPoolServers(view membership.View, p *bundle.Pool) []string {
	region := view.Self().Region
	var names []string
	for _, s := range view.Servers(p.Service) {
		if s.Region == region && p.Contains(s.Name) {
			names = append(names, s.Name)
		}
	}
	return names
}

// refresh updates the pools to the current bundle and membership.
func (s *Service) refresh(now time.Time) {
	active := s.cfg.Bundles.Current()
	if active == nil || s.stopped {
		return
	}
	if active != s.active {
		s.active = active
		s.configure(now)
	}
	s.refreshGateways(now)
	var taken []string
	for _, p := range s.ordered {
		taken = append(taken, s.refreshServers(now, p)...)
	}
	s.takeOver(now, taken)
	for _, p := range s.ordered {
		s.grantFreeSlots(now, p)
	}
}

// configure applies the active bundle: it creates, updates and removes pools.
func (s *Service) configure(now time.Time) {
	old := s.pools
	s.pools = map[string]*pool{}
	s.ordered = s.ordered[:0]
	for i := range s.active.Bundle.Pools {
		b := &s.active.Bundle.Pools[i]
		p := old[b.Name]
		delete(old, b.Name)
		if p == nil {
			p = &pool{name: b.Name, Pool: policy.NewPool(s.poolSpec(b))}
		} else {
			p.Configure(s.poolSpec(b))
		}
		s.pools[b.Name] = p
		s.ordered = append(s.ordered, p)
	}
	for _, p := range old {
		p.RefuseAll(now, policy.RefusedNoServer)
		s.refuseWithdrawn(now, p, 0, 0)
		s.removeEntriesOfLostServers(p.name, func(string) bool { return false })
	}
	slices.SortFunc(s.ordered, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
}

func (s *Service) poolSpec(b *bundle.Pool) policy.PoolSpec {
	spec := policy.PoolSpec{
		Limit:    s.cfg.QueueLimit,
		Slots:    max(1, b.Slots),
		MaxSlots: max(b.Slots, b.MaxSlots),
		Owners:   map[string]float64{},
		Disabled: s.cfg.Disabled,
	}
	if service := s.active.Service(b.Service); service != nil {
		spec.Batches = service.Kind == bundle.EngineService
	}
	for _, o := range s.active.Bundle.Owners {
		spec.Owners[o.Name] = o.Share
	}
	for _, c := range s.active.Bundle.Classes {
		spec.Classes = append(spec.Classes, classSpec(c))
	}
	return spec
}

func classSpec(c bundle.Class) policy.ClassSpec {
	return policy.ClassSpec{
		Name:       c.Name,
		Tier:       min(max(c.Tier, 0), policy.Tiers-1),
		Starvation: time.Duration(c.StarvationMs) * time.Millisecond,
		RefuseLate: c.OnMiss == bundle.OnMissRefuse,
		Target: policy.Target{
			FirstToken: time.Duration(c.FirstTokenMs) * time.Millisecond,
			TokenGap:   time.Duration(c.TokenGapMs) * time.Millisecond,
			Promise:    c.Promise,
		},
	}
}

// refreshServers updates the servers of a pool that this daemon owns and returns
// the names of those that it did not own before.
func (s *Service) refreshServers(now time.Time, p *pool) []string {
	b := s.active.Pool(p.name)
	names := LocalPoolServers(s.cfg.View, b)
	schedulers := policy.AssignAll(names, s.cfg.View.Schedulers())
	var owned []policy.ServerSpec
	var taken []string
	for i, name := range names {
		if schedulers[i] != s.cfg.Bus.Self() {
			continue
		}
		spec := s.serverSpec(name)
		if p.Server(name) == nil {
			taken = append(taken, name)
		}
		owned = append(owned, spec)
	}
	p.owned = owned
	p.SetServers(owned)
	s.removeEntriesOfLostServers(p.name, func(name string) bool { return p.Server(name) != nil })
	if len(owned) == 0 {
		p.RefuseAll(now, policy.RefusedNoServer)
		s.refuseWithdrawn(now, p, 0, 0)
	}
	s.updateRestrictions(p)
	return taken
}

func (s *Service) serverSpec(name string) policy.ServerSpec {
	spec := policy.ServerSpec{Name: name}
	if o := s.active.OwnerOf(name); o != nil {
		spec.Owner = o.Name
	}
	info, ok := s.cfg.View.Server(name)
	spec.Leaving = !ok || info.Leaving
	return spec
}

// removeEntriesOfLostServers removes the ledger entries of a pool's servers that
// this daemon no longer owns. The new owner learns about the slots from Declare
// messages.
func (s *Service) removeEntriesOfLostServers(pool string, owned func(server string) bool) {
	disowned := s.ledger.entriesWhere(func(e *entry) bool { return e.pool == pool && !owned(e.server) })
	for _, e := range disowned {
		s.ledger.remove(e)
	}
}
