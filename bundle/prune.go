package bundle

import (
	"context"
	"errors"

	"github.com/jacinththread/jacinththread/store"
)

const (
	// KeptVersions is the number of versions that stay in the store.
	KeptVersions = 200
	// sweepEvery is the number of versions between sweeps of proposals.
	sweepEvery = 50
)

// prune removes the versions that a roll made too old, with their proposals.
// What a failure leaves behind stays in the store and does no harm.
func (s *Store) prune(ctx context.Context, now Pointer) {
	if now.Version <= KeptVersions {
		return
	}
	if now.Version/sweepEvery != now.Base/sweepEvery {
		s.sweepProposals(ctx, now.Version-KeptVersions)
	}
	first := uint64(1)
	if now.Base > KeptVersions {
		first = now.Base - KeptVersions + 1
	}
	for n := first; n <= now.Version-KeptVersions; n++ {
		if s.pruneVersion(ctx, n) != nil {
			return
		}
	}
}

func (s *Store) pruneVersion(ctx context.Context, n uint64) error {
	e, err := s.kv.Get(ctx, versionKey(n))
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	r := &Record{}
	if err := decodeValue(e.Value, r); err != nil {
		return err
	}
	_, rev, err := s.proposal(ctx, r.ChangeID)
	if err == nil {
		err = s.kv.Delete(ctx, proposalKey(r.ChangeID), rev)
	}
	if err != nil && !errors.Is(err, ErrChangeNotFound) {
		return err
	}
	return s.kv.Delete(ctx, versionKey(n), e.Revision)
}

// sweepProposals removes the proposals made from a base before oldest. They
// lost their race long ago, or were pruned with their version.
func (s *Store) sweepProposals(ctx context.Context, oldest uint64) {
	entries, err := s.kv.List(ctx, proposalPrefix)
	if err != nil {
		return
	}
	for _, e := range entries {
		p := &Proposal{}
		if decodeValue(e.Value, p) != nil || p.Base >= oldest {
			continue
		}
		if s.kv.Delete(ctx, e.Key, e.Revision) != nil {
			return
		}
	}
}
