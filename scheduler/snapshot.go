package scheduler

import (
	"cmp"
	"slices"

	"github.com/jacinththread/jacinththread/bundle"
)

// PoolSnapshot holds the state of one tier of a pool at this scheduler.
type PoolSnapshot struct {
	Pool string `json:"pool"`
	Tier int    `json:"tier"`
	// Waiting and Running count the requests of the tier.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Slots is the number of slots of the pool's servers at this scheduler, the
	// same for all tiers.
	Slots int `json:"slots"`
}

// Snapshot returns the state of all pools, sorted by pool and tier.
func (s *Service) Snapshot() []PoolSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []PoolSnapshot
	for _, p := range s.pools {
		out = append(out, s.snapshotPool(p)...)
	}
	slices.SortFunc(out, func(a, b PoolSnapshot) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Tier, b.Tier))
	})
	return out
}

func (s *Service) snapshotPool(p *pool) []PoolSnapshot {
	out := make([]PoolSnapshot, bundle.MaxTiers)
	for tier := range out {
		out[tier] = PoolSnapshot{Pool: p.name, Tier: tier, Waiting: p.Queue().Waiting(tier), Slots: p.Slots()}
	}
	for _, e := range s.ledger.running {
		if e.pool != p.name {
			continue
		}
		if class := s.active.Class(e.class); class != nil {
			out[classSpec(*class).Tier].Running++
		}
	}
	return out
}
