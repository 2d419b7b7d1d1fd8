package bundle

import (
	"context"
	"errors"

	"github.com/jacinththread/jacinththread/platform"
)

// KeptVersions is the number of versions that stay in the store.
const KeptVersions = 200

// prune removes the versions that a roll made too old, with their proposals.
// What a failure leaves behind stays in the store and does no harm.
func (s *Store) prune(ctx context.Context, now Pointer) {
	if now.Version <= KeptVersions {
		return
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
	if errors.Is(err, platform.ErrNotFound) {
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
