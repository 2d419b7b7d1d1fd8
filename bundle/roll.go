package bundle

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/store"
)

// Roll puts an approved change in force. It stores the record under a new
// version number before it swaps bundle/current to that version, so a crash in
// between leaves a record that is never in force. For a change that is or was in
// force already, Roll returns its version.
//
// If another change was rolled first, the error is a *ConflictError. After
// store.ErrOutcomeUnknown, the caller repeats the call to learn the outcome.
func (s *Store) Roll(ctx context.Context, id, operator string) (Pointer, error) {
	p, err := s.approvedProposal(ctx, id)
	if err != nil {
		return Pointer{}, err
	}
	r := newRetry()
	for {
		current, rev, err := s.current(ctx)
		if err == nil && current.Version != p.Base {
			at, err := s.resolveOutcome(ctx, p, current)
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
		if !s.shouldRetrySwap(ctx, r, err) {
			return Pointer{}, r.result(err)
		}
	}
}

// approvedProposal returns a proposal that has been approved and may be rolled.
func (s *Store) approvedProposal(ctx context.Context, id string) (*Proposal, error) {
	p, err := s.Proposal(ctx, id)
	if err != nil {
		return nil, err
	}
	if p.ApprovedBy == "" {
		return nil, trace.Wrap(ErrNotApproved, "change %q", id)
	}
	if p.ApprovedBy == p.ProposedBy {
		return nil, trace.Wrap(ErrSelfApproval, "change %q", id)
	}
	if _, err := parseContent(p.Content, p.Digest); err != nil {
		return nil, err
	}
	return p, nil
}

// resolveOutcome determines the outcome of a change whose base is no longer in
// force. If the change itself replaced the base, it returns its version. If another
// change did, it returns a *ConflictError, and ErrHistoryPruned if the versions
// that would show it have been pruned.
func (s *Store) resolveOutcome(ctx context.Context, p *Proposal, current Pointer) (Pointer, error) {
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

// swap stores the record of the change and puts it in force if bundle/current
// still has revision rev.
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

// storeRecord stores the record of the change under the first unused version
// number above its base. If an earlier attempt stored one, it returns that.
// Version numbers are never reused, so all attempts find the same record.
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
