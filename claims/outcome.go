package claims

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/store"
)

// outcomeTries bounds the tries to store an outcome before they go on in the
// background.
const outcomeTries = 3

// errSuperseded means that the stored claim is no longer the attempt's own. It
// happens only after the claim expired.
var errSuperseded = errors.New("claim belongs to another attempt or has expired")

// change is a write to the claim of one attempt that may be tried many times.
type change struct {
	key string
	rec record
	// rev is the claim's revision; zero means that it has to be read.
	rev store.Revision
	// fence is set when a create or swap of the attempt may still take effect.
	fence bool
}

// Finish implements Claimer.
func (s *Service) Finish(ctx context.Context, a Attempt, answer Answer) error {
	h := s.takeHeld(a.ID)
	if h == nil {
		return trace.NotFound("attempt %s holds no claim", a.ID)
	}
	rec := h.rec.finished(answer, time.Now())
	return s.settle(ctx, &change{key: h.key, rec: rec, rev: h.rev})
}

// Abandon implements Claimer.
func (s *Service) Abandon(ctx context.Context, a Attempt) error {
	h := s.takeHeld(a.ID)
	if h == nil {
		return trace.NotFound("attempt %s holds no claim", a.ID)
	}
	rec := h.rec.in(phaseAbandoned, time.Now())
	return s.settle(ctx, &change{key: h.key, rec: rec, rev: h.rev})
}

// Release implements Claimer. The claim is replaced by a released record
// rather than deleted: a create that was sent twice and is applied late then
// still fails. The sweep removes the record.
func (s *Service) Release(a Attempt) {
	h := s.takeHeld(a.ID)
	if h == nil {
		return
	}
	rec := h.rec.released(time.Now())
	s.backlog.add(&change{key: h.key, rec: rec, rev: h.rev})
}

// fence makes sure that no write of an undecided attempt stays in the store.
func (s *Service) fence(c *claim) {
	s.counts.fenced.Inc(1)
	rec := c.rec.released(time.Now())
	s.backlog.add(&change{key: c.key, rec: rec, fence: true})
}

// settle tries a change a few times and then leaves it to the background.
func (s *Service) settle(ctx context.Context, c *change) error {
	pause := newPause()
	var err error
	for try := 0; try < outcomeTries; try++ {
		err = s.apply(ctx, c)
		if err == nil || errors.Is(err, errSuperseded) {
			return trace.Wrap(err)
		}
		if !sleep(ctx, pause.NextBackOff()) {
			break
		}
	}
	s.backlog.add(c)
	return trace.Wrap(err, "outcome is not stored yet")
}

// apply tries a change once. It returns nil when the change is stored or not
// needed any more.
func (s *Service) apply(ctx context.Context, c *change) error {
	if c.rev == 0 {
		needed, err := s.locate(ctx, c)
		if err != nil || !needed {
			return err
		}
	}
	value, err := c.rec.encode()
	if err != nil {
		return err
	}
	if c.rev == 0 {
		_, err = s.store.Create(ctx, c.key, value)
	} else {
		_, err = s.store.CompareAndSwap(ctx, c.key, c.rev, value)
	}
	// After any failure the next try reads the key first.
	c.rev = 0
	return err
}

// locate reads the revision that a change replaces. It returns false if the
// change is stored already or there is nothing to change. The revision stays
// zero if the key is absent and a fence has to be created.
func (s *Service) locate(ctx context.Context, c *change) (needed bool, err error) {
	e, err := s.store.Get(ctx, c.key)
	if errors.Is(err, store.ErrNotFound) {
		if c.fence {
			return true, nil
		}
		return false, errSuperseded
	}
	if err != nil {
		return false, err
	}
	rec, err := decodeRecord(e.Value)
	if err != nil {
		s.unreadable(c.key, err)
		return false, errSuperseded
	}
	own := rec.Attempt == c.rec.Attempt
	switch {
	case own && rec.Phase == c.rec.Phase:
		return false, nil
	case own, c.fence && rec.Phase == phaseReleased:
		c.rev = e.Revision
		return true, nil
	case c.fence:
		// The key moved on, so the fenced write fails from now on.
		return false, nil
	default:
		return false, errSuperseded
	}
}
