package reservation

import (
	"slices"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/policy"
	"github.com/jacinththread/jacinththread/scheduler"
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

// assignment returns the owners of the pool's servers in the local region. The
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
	a := policy.NewAssignment(scheduler.PoolServers(m.cfg.View, pool), m.cfg.View.Schedulers())
	c.pools[pool.Name] = a
	return a
}

// ownerOf returns the daemon that schedules a server now.
func (m *Manager) ownerOf(s membership.Server) string {
	return policy.Assign(s.Name, m.cfg.View.Schedulers())
}

// choose picks up to n schedulers that the reservation has not asked yet and
// that own a server it may run on. The caller holds m.mu.
func (m *Manager) choose(r *reservation, n int) []string {
	prefix := r.spec.Prefix
	if len(r.asked) > 0 {
		prefix = 0
	}
	skip := func(name, server string) bool {
		return r.asked[name] != nil || slices.Contains(r.spec.Avoid, server) || m.leaving(server)
	}
	return policy.Choose(m.assignment(r.spec.Pool), prefix, n, skip, m.rng)
}

func (m *Manager) leaving(server string) bool {
	s, ok := m.cfg.View.Server(server)
	return !ok || s.Leaving
}
