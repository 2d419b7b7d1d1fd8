package reservation

import (
	"slices"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/policy"
)

// assignments holds, per pool, which daemon schedules which backend server. It
// is dropped whenever the membership or the bundle changes.
type assignments struct {
	viewChanged   <-chan struct{}
	bundleChanged <-chan struct{}
	pools         map[string]policy.Assignment
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// assignment returns the owners of the pool's servers that may get work. The
// caller holds m.mu.
func (m *Manager) assignment(pool *bundle.Pool) policy.Assignment {
	c := &m.owners
	if c.pools == nil || isClosed(c.viewChanged) || isClosed(c.bundleChanged) {
		*c = assignments{
			viewChanged:   m.cfg.View.Changed(),
			bundleChanged: m.cfg.Bundles.Changed(),
			pools:         map[string]policy.Assignment{},
		}
	}
	if a, ok := c.pools[pool.Name]; ok {
		return a
	}
	var servers []string
	for _, s := range m.cfg.View.Servers(pool.Service) {
		if !s.Leaving && pool.Holds(s.Name) {
			servers = append(servers, s.Name)
		}
	}
	a := policy.NewAssignment(servers, m.cfg.View.Schedulers())
	c.pools[pool.Name] = a
	return a
}

// ownerOf returns the daemon that schedules a server now.
func (m *Manager) ownerOf(s membership.Server) string {
	return policy.Assign(s.Name, m.cfg.View.Schedulers())
}

// choose picks up to n schedulers that the reservation has not asked yet. The
// first is the one that owns the server of the prompt's prefix; the others are
// random, weighted by the number of servers they own. The caller holds m.mu.
func (m *Manager) choose(r *reservation, n int) []string {
	a := m.assignment(r.spec.Pool)
	if n <= 0 || len(a.Schedulers) == 0 {
		return nil
	}
	var names []string
	add := func(i int) {
		name := a.Owners[i]
		if r.asked[name] == nil && !slices.Contains(names, name) && !slices.Contains(r.spec.Avoid, a.Servers[i]) {
			names = append(names, name)
		}
	}
	if r.spec.Prefix != 0 && len(r.asked) == 0 {
		add(a.PreferredServer(r.spec.Prefix))
	}
	for _, i := range m.rng.Perm(len(a.Servers)) {
		if len(names) >= n {
			break
		}
		add(i)
	}
	return names
}
