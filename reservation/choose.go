package reservation

import (
	"slices"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/policy"
	"github.com/jacinththread/jacinththread/scheduler"
)

// assignmentCache caches, per pool, which daemon schedules which backend server.
// The cache is discarded when the membership or the bundle changes.
type assignmentCache struct {
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

// assignment returns the schedulers that own the pool's servers in the local
// region, from the cache if it is still valid. The caller holds m.mu.
func (m *Manager) assignment(pool *bundle.Pool) policy.Assignment {
	c := &m.assignments
	if c.pools == nil || isClosed(c.viewChanged) || isClosed(c.bundleChanged) {
		*c = assignmentCache{
			viewChanged:   m.cfg.View.Changed(),
			bundleChanged: m.cfg.Bundles.Changed(),
			pools:         map[string]policy.Assignment{},
		}
	}
	if a, ok := c.pools[pool.Name]; ok {
		return a
	}
	a := policy.NewAssignment(scheduler.LocalPoolServers(m.cfg.View, pool), m.cfg.View.Schedulers())
	c.pools[pool.Name] = a
	return a
}

// ownerOf returns the daemon that currently schedules a server.
func (m *Manager) ownerOf(s membership.Server) string {
	return policy.Assign(s.Name, m.cfg.View.Schedulers())
}

// chooseSchedulers returns up to n schedulers that have not received the
// reservation yet and own at least one server that can run it. The prompt prefix
// influences only the first choice. The caller holds m.mu.
func (m *Manager) chooseSchedulers(r *reservation, n int) []string {
	prefix := r.spec.Prefix
	if len(r.asked) > 0 {
		prefix = 0
	}
	skip := func(name, server string) bool {
		return r.asked[name] != nil || slices.Contains(r.spec.ExcludedServers, server) || m.isLeaving(server)
	}
	return policy.Choose(m.assignment(r.spec.Pool), prefix, n, skip, m.rng)
}

// isLeaving reports whether a server is about to leave the cluster or has left.
func (m *Manager) isLeaving(server string) bool {
	s, ok := m.cfg.View.Server(server)
	return !ok || s.Leaving
}
