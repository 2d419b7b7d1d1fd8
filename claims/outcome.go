package claims

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/internal/pause"
	"github.com/jacinththread/jacinththread/store"
)

// maxOutcomeTries limits how often Finish and Abandon try to store an outcome
// before the write moves to the backlog.
const maxOutcomeTries = 3

// errSuperseded is returned when the store no longer holds the attempt's claim,
// which happens only after the claim expired, or when the record is unreadable.
var errSuperseded = errors.New("claim belongs to another attempt or has expired")

// pendingWrite is a write to the claim of one attempt. It may be attempted many
// times.
type pendingWrite struct {
	key string
	rec record
	// rev is the revision that the write replaces. Zero means that it is not
	// known and has to be read.
	rev store.Revision
	// fence is set when an earlier write of the attempt may still take effect
	// and has to be prevented or undone.
	fence bool
}

// Finish implements Claimer.
func (s *Service) Finish(ctx context.Context, a Attempt, response Response) error {
	claimed := s.untrackClaim(a.ID)
	if claimed == nil {
		return trace.NotFound("attempt %s holds no claim", a.ID)
	}
	rec := claimed.rec.asFinished(response, time.Now())
	return s.storeOutcome(ctx, &pendingWrite{key: claimed.key, rec: rec, rev: claimed.rev})
}

// Abandon implements Claimer.
func (s *Service) Abandon(ctx context.Context, a Attempt) error {
	claimed := s.untrackClaim(a.ID)
	if claimed == nil {
		return trace.NotFound("attempt %s holds no claim", a.ID)
	}
	rec := claimed.rec.withPhase(phaseAbandoned, time.Now())
	return s.storeOutcome(ctx, &pendingWrite{key: claimed.key, rec: rec, rev: claimed.rev})
}

// Release implements Claimer. The claim is replaced by a released record and
// not deleted, so that a duplicate of its create that the store applies late
// fails. The sweep removes the record.
func (s *Service) Release(a Attempt) {
	claimed := s.untrackClaim(a.ID)
	if claimed == nil {
		return
	}
	rec := claimed.rec.asReleased(time.Now())
	s.backlog.add(&pendingWrite{key: claimed.key, rec: rec, rev: claimed.rev})
}

// fenceAttempt queues the write of a released record for an undecided attempt, so
// that no claim of the attempt stays in the store and its late writes fail.
func (s *Service) fenceAttempt(c *claim) {
	s.counts.fenced.Inc(1)
	rec := c.rec.asReleased(time.Now())
	s.backlog.add(&pendingWrite{key: c.key, rec: rec, fence: true})
}

// storeOutcome attempts a write up to maxOutcomeTries times and then adds it to
// the backlog.
func (s *Service) storeOutcome(ctx context.Context, w *pendingWrite) error {
	delay := newRetryBackoff()
	var err error
	for try := 0; try < maxOutcomeTries; try++ {
		err = s.apply(ctx, w)
		if err == nil || errors.Is(err, errSuperseded) {
			return trace.Wrap(err)
		}
		if !pause.For(ctx, delay.NextBackOff()) {
			break
		}
	}
	s.backlog.add(w)
	return trace.Wrap(err, "outcome is not stored yet")
}

// apply attempts a write once. It returns nil if the write is stored or no
// longer needed.
func (s *Service) apply(ctx context.Context, w *pendingWrite) error {
	if w.rev == 0 {
		needed, err := s.findRevision(ctx, w)
		if err != nil || !needed {
			return err
		}
	}
	value, err := w.rec.encode()
	if err != nil {
		return err
	}
	if w.rev == 0 {
		_, err = s.store.Create(ctx, w.key, value)
	} else {
		_, err = s.store.CompareAndSwap(ctx, w.key, w.rev, value)
	}
	// If the write failed, the next attempt reads the revision first.
	w.rev = 0
	return err
}

// findRevision reads the record and sets w.rev to the revision that the write
// replaces. It returns false if the write is already stored or no longer
// needed. w.rev stays zero if the key does not exist and a fence has to be
// created.
func (s *Service) findRevision(ctx context.Context, w *pendingWrite) (needed bool, err error) {
	e, err := s.store.Get(ctx, w.key)
	if errors.Is(err, store.ErrNotFound) {
		if w.fence {
			return true, nil
		}
		return false, errSuperseded
	}
	if err != nil {
		return false, err
	}
	rec, err := decodeRecord(e.Value)
	if err != nil {
		s.reportUnreadable(w.key, err)
		return false, errSuperseded
	}
	own := rec.Attempt == w.rec.Attempt
	switch {
	case own && rec.Phase == w.rec.Phase:
		return false, nil
	case own, w.fence && rec.Phase == phaseReleased:
		w.rev = e.Revision
		return true, nil
	case w.fence:
		// Another attempt has changed the key, so a late create or
		// compare-and-swap of the fenced attempt fails.
		return false, nil
	default:
		return false, errSuperseded
	}
}
