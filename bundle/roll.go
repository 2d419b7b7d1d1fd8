package bundle

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/store"
)

// Roll puts an approved change in force. The record of the new version is
// stored under a number of its own before bundle/current is swapped to it, so
// that a crash in between leaves a record that is never in force. A change
// that is in force already, or was, is returned with its version.
//
// If another change was rolled first, the error is a *ConflictError. After
// store.ErrOutcomeUnknown, repeating the call tells the outcome.
func (s *Store) Roll(ctx context.Context, id, operator string) (Pointer, error) {
	p, err := s.approved(ctx, id)
	if err != nil {
		return Pointer{}, err
	}
	r := newRetry()
	for {
		current, rev, err := s.current(ctx)
		if err == nil && current.Version != p.Base {
			at, err := s.settled(ctx, p, current)
			return at, r.result(err)
		}
		if err == nil {
			var next Pointer
			next, err = s.swap(ctx, p, operator, rev)
			if err == nil {
				s.prune(ctx, next)
				return next, nil
			}
		}
		if !s.tryAgain(ctx, r, err) {
			return Pointer{}, r.result(err)
		}
	}
}

// approved returns a proposal that may be rolled.
func (s *Store) approved(ctx context.Context, id string) (*Proposal, error) {
	p, err := s.Proposal(ctx, id)
	if err != nil {
		return nil, err
	}
	if p.ApprovedBy == "" {
		return nil, trace.Wrap(ErrNotApproved, "change %q", id)
	}
	if p.ApprovedBy == p.ProposedBy {
		return nil, trace.Wrap(ErrOwnChange, "change %q", id)
	}
	if _, err := parseContent(p.Content, p.Digest); err != nil {
		return nil, err
	}
	return p, nil
}

// settled tells what became of a change whose base is no longer in force: it
// was put in force itself, or another change was.
func (s *Store) settled(ctx context.Context, p *Proposal, current Pointer) (Pointer, error) {
	at := current
	for at.Base > p.Base {
		r, err := s.Version(ctx, at.Base)
		if errors.Is(err, ErrVersionNotFound) {
			return Pointer{}, trace.Wrap(ErrHistoryPruned, "change %q", p.ChangeID)
		}
		if err != nil {
			return Pointer{}, err
		}
		at = r.pointer()
	}
	if at.ChangeID == p.ChangeID && at.Base == p.Base {
		return at, nil
	}
	return Pointer{}, &ConflictError{Base: p.Base, Winner: current}
}

// swap stores the record of the change and makes it the version in force if
// bundle/current still has the revision.
func (s *Store) swap(ctx context.Context, p *Proposal, operator string, rev store.Revision) (Pointer, error) {
	record, err := s.storeRecord(ctx, p, operator)
	if err != nil {
		return Pointer{}, err
	}
	next := record.pointer()
	value, err := encodeValue(next)
	if err != nil {
		return Pointer{}, err
	}
	if rev == 0 {
		_, err = s.kv.Create(ctx, currentKey, value)
	} else {
		_, err = s.kv.CompareAndSwap(ctx, currentKey, rev, value)
	}
	return next, err
}

// storeRecord stores the record under the first number above its base that is
// free, and returns the one an earlier attempt stored if there is one. Numbers
// are never freed, so all attempts at one change meet the same record.
func (s *Store) storeRecord(ctx context.Context, p *Proposal, operator string) (*Record, error) {
	r := &Record{
		Base: p.Base, ChangeID: p.ChangeID, Digest: p.Digest, Note: p.Note,
		ProposedBy: p.ProposedBy, ApprovedBy: p.ApprovedBy,
		RolledBy: operator, RolledAt: time.Now().UTC(), Content: p.Content,
	}
	for n := p.Base + 1; ; n++ {
		r.Version = n
		value, err := encodeValue(r)
		if err != nil {
			return nil, err
		}
		err = s.create(ctx, versionKey(n), value)
		if err == nil {
			return r, nil
		}
		if !errors.Is(err, store.ErrExists) {
			return nil, err
		}
		taken, err := s.Version(ctx, n)
		if err != nil {
			return nil, err
		}
		if taken.ChangeID == p.ChangeID {
			return taken, nil
		}
	}
}
