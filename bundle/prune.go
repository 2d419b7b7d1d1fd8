package bundle

import (
	"context"
	"errors"

	"github.com/jacinththread/jacinththread/store"
)

const (
	// KeptVersions is the number of versions that are kept in the store.
	KeptVersions = 200
	// versionsPerSweep is the number of versions between two sweeps of proposals.
	versionsPerSweep = 50
)

// prune deletes the versions that a roll moved out of the kept range, with
// their proposals. Versions that remain after an error are harmless.
func (s *Store) prune(ctx context.Context, now Pointer) {
	if now.Version <= KeptVersions {
		return
	}
	if now.Version/versionsPerSweep != now.Base/versionsPerSweep {
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

// sweepProposals deletes the proposals whose base is older than oldest. They can
// no longer be rolled. It also finds those of changes that lost to another one
// or were never rolled, which pruning by version misses.
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
