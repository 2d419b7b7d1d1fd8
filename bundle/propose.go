package bundle

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/store"
)

const (
	// maxNoteBytes is the maximum length of the note of a change.
	maxNoteBytes = 2000
	// recordHeadroom is subtracted from the store's limit for a compressed
	// proposal, so that the record of its version, which has further fields,
	// fits as well.
	recordHeadroom = 16 << 10
)

// Change is the input of Store.Propose.
type Change struct {
	// ID identifies the change. The operator chooses it. Repeating a proposal
	// with the same ID and content returns the stored one.
	ID string
	// Base is the version the change was made from; zero for the first.
	Base uint64
	// Content is the bundle in JSON with comments.
	Content string
	Note    string
}

// Propose validates a change and stores it for review. If the content has
// findings, nothing is stored and the error is a *finding.Error. If the base of
// the change is not in force, the error is a *ConflictError.
func (s *Store) Propose(ctx context.Context, c Change, operator string) (*Proposal, error) {
	if !changeIDRule.MatchString(c.ID) {
		return nil, trace.Wrap(ErrBadChangeID)
	}
	if len(c.Note) > maxNoteBytes {
		return nil, trace.Wrap(ErrNoteTooLong)
	}
	p, err := newProposal(c, operator)
	if err != nil {
		return nil, err
	}
	stored, err := s.Proposal(ctx, c.ID)
	if err == nil {
		return sameProposal(stored, p)
	}
	if !errors.Is(err, ErrChangeNotFound) {
		return nil, err
	}
	current, _, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	if current.Version != c.Base {
		return nil, &ConflictError{Base: c.Base, Winner: current}
	}
	return s.storeProposal(ctx, p)
}

func newProposal(c Change, operator string) (*Proposal, error) {
	b, findings := Parse(c.ID, []byte(c.Content))
	if err := findings.Err(); err != nil {
		return nil, err
	}
	digest, err := Digest(b)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Proposal{
		ChangeID: c.ID, Base: c.Base, Digest: digest, Note: c.Note,
		ProposedBy: operator, ProposedAt: time.Now().UTC(), Content: c.Content,
	}, nil
}

func (s *Store) storeProposal(ctx context.Context, p *Proposal) (*Proposal, error) {
	value, err := encodeValue(p)
	if err != nil {
		return nil, err
	}
	if len(value) > store.MaxValueBytes-recordHeadroom && bytes.HasPrefix(value, gzipMagic) {
		return nil, &SizeError{Bytes: len(p.Content), Compressed: len(value)}
	}
	err = s.create(ctx, proposalKey(p.ChangeID), value)
	if err == nil {
		return p, nil
	}
	if !errors.Is(err, store.ErrExists) {
		return nil, err
	}
	stored, err := s.Proposal(ctx, p.ChangeID)
	if err != nil {
		return nil, err
	}
	return sameProposal(stored, p)
}

// sameProposal returns the stored proposal if p is a repeat of it, and
// ErrChangeIDTaken otherwise.
func sameProposal(stored, p *Proposal) (*Proposal, error) {
	same := stored.Base == p.Base && stored.Digest == p.Digest &&
		stored.ProposedBy == p.ProposedBy && stored.Note == p.Note && stored.Content == p.Content
	if !same {
		return nil, trace.Wrap(ErrChangeIDTaken, "change %q", p.ChangeID)
	}
	return stored, nil
}

// Proposal returns a stored proposal, or ErrChangeNotFound.
func (s *Store) Proposal(ctx context.Context, id string) (*Proposal, error) {
	p, _, err := s.proposal(ctx, id)
	return p, err
}

func (s *Store) proposal(ctx context.Context, id string) (*Proposal, store.Revision, error) {
	if !changeIDRule.MatchString(id) {
		return nil, 0, trace.Wrap(ErrBadChangeID)
	}
	e, err := s.kv.Get(ctx, proposalKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, trace.Wrap(ErrChangeNotFound, "change %q", id)
	}
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	p := &Proposal{}
	return p, e.Revision, decodeValue(e.Value, p)
}

// Review is a proposal with the information an operator needs to approve it.
type Review struct {
	Proposal *Proposal
	Findings finding.List
	// Current is the version in force; zero if there is none.
	Current Pointer
	// Diff is the line diff from the base to the proposal; empty without a base.
	Diff string
}

// Review returns a proposal with its findings and its diff from the base.
func (s *Store) Review(ctx context.Context, id string) (*Review, error) {
	p, err := s.Proposal(ctx, id)
	if err != nil {
		return nil, err
	}
	current, _, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	r := &Review{Proposal: p, Findings: p.Findings(), Current: current}
	if p.Base == 0 {
		return r, nil
	}
	base, err := s.Version(ctx, p.Base)
	if err != nil {
		return nil, err
	}
	r.Diff = Diff(base.Content, p.Content)
	return r, nil
}

// Approve records the approval of a change by an operator other than its
// proposer. The digest must be that of the reviewed content. Approving an
// approved change again changes nothing, whoever the operator is.
func (s *Store) Approve(ctx context.Context, id, digest, operator string) (*Proposal, error) {
	r := newRetry()
	for {
		p, rev, err := s.proposal(ctx, id)
		if err == nil {
			err = checkApproval(p, digest, operator)
		}
		if err != nil {
			return nil, r.result(err)
		}
		if p.ApprovedBy != "" {
			return p, nil
		}
		p.ApprovedBy, p.ApprovedAt = operator, time.Now().UTC()
		value, err := encodeValue(p)
		if err != nil {
			return nil, err
		}
		_, err = s.kv.CompareAndSwap(ctx, proposalKey(id), rev, value)
		if err == nil {
			return p, nil
		}
		if !s.shouldRetrySwap(ctx, r, err) {
			return nil, r.result(err)
		}
	}
}

func checkApproval(p *Proposal, digest, operator string) error {
	if p.Digest != digest {
		return &DigestError{Want: digest, Got: p.Digest}
	}
	if p.ProposedBy == operator {
		return trace.Wrap(ErrSelfApproval, "change %q", p.ChangeID)
	}
	if _, err := parseContent(p.Content, digest); err != nil {
		return err
	}
	return nil
}

// shouldRetrySwap reports whether to read the value and attempt the swap again,
// because its outcome is unknown or another write came first.
func (s *Store) shouldRetrySwap(ctx context.Context, r *retry, err error) bool {
	lostRace := errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrExists) ||
		errors.Is(err, store.ErrNotFound)
	if lostRace {
		r.attempts++
		return r.attempts < maxAttempts && ctx.Err() == nil
	}
	return r.shouldRetry(ctx, err)
}
