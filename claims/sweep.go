package claims

import (
	"context"
	"time"

	"github.com/jacinththread/jacinththread/internal/pause"
	"github.com/jacinththread/jacinththread/store"
)

// maxSweepWrites limits the number of writes per sweep of a shard.
const maxSweepWrites = 32

// releasedRetention is how long a released record is kept. It must exceed the
// maximum delay after which the store may still apply a write.
const releasedRetention = 10 * time.Minute

// sweepAction is the action of the sweep on one record.
type sweepAction uint8

const (
	sweepKeep sweepAction = iota
	sweepDelete
	// sweepAbandon marks an unfinished claim as abandoned. It is kept for
	// another retention period, in which Begin returns Unknown.
	sweepAbandon
)

// sweepActionFor returns the action for a record, depending on its phase and
// age.
func sweepActionFor(r record, now time.Time, retention time.Duration) sweepAction {
	age := now.Sub(time.UnixMilli(r.ChangedMs))
	switch r.Phase {
	case phaseReleased:
		if age > min(retention, releasedRetention) {
			return sweepDelete
		}
	case phaseFinished, phaseAbandoned:
		if age > retention {
			return sweepDelete
		}
	case phaseClaimed:
		if age > retention {
			return sweepAbandon
		}
	}
	return sweepKeep
}

// runSweep sweeps the shards one after the other until ctx ends. Each daemon
// iterates over all shards but lists only those assigned to it, so that the
// load on the store does not grow with the number of daemons.
func (s *Service) runSweep(ctx context.Context) {
	for shard := 0; ; shard = (shard + 1) % shardCount {
		if !pause.For(ctx, s.cfg.SweepInterval) {
			return
		}
		prefix := shardPrefix(shard)
		if s.cfg.SweepsShard(prefix) {
			s.sweepShard(ctx, prefix)
		}
	}
}

func (s *Service) sweepShard(ctx context.Context, prefix string) {
	entries, err := s.store.List(ctx, prefix)
	if err != nil {
		s.log.Debug("listing a claims shard failed", "shard", prefix, "err", err)
		return
	}
	now, retention := time.Now(), s.cfg.Retention()
	writes := 0
	for _, e := range entries {
		if writes == maxSweepWrites || ctx.Err() != nil {
			return
		}
		if s.sweepEntry(ctx, e, now, retention) {
			writes++
		}
	}
}

// sweepEntry deletes or abandons one entry and reports whether it attempted a
// write. Writes are conditional on the revision, so a failed one can be left to
// the next sweep.
func (s *Service) sweepEntry(ctx context.Context, e store.Entry, now time.Time, retention time.Duration) bool {
	rec, err := decodeRecord(e.Value)
	if err != nil {
		s.reportUnreadable(e.Key, err)
		return false
	}
	switch sweepActionFor(rec, now, retention) {
	case sweepDelete:
		if s.store.Delete(ctx, e.Key, e.Revision) == nil {
			s.counts.expired.Inc(1)
		}
		return true
	case sweepAbandon:
		s.markAbandoned(ctx, e, rec.withPhase(phaseAbandoned, now))
		return true
	default:
		return false
	}
}

func (s *Service) markAbandoned(ctx context.Context, e store.Entry, rec record) {
	value, err := rec.encode()
	if err != nil {
		s.log.Error("encoding a claim record failed", "key", e.Key, "err", err)
		return
	}
	if _, err := s.store.CompareAndSwap(ctx, e.Key, e.Revision, value); err != nil {
		s.log.Debug("marking an unfinished claim as abandoned failed", "key", e.Key, "err", err)
	}
}
