package bundle

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// variant returns the text of a valid bundle that is different for each n.
func variant(t testing.TB, n int) string {
	t.Helper()
	b := sample()
	b.RetentionHours = 1 + n
	return string(canonicalText(t, b))
}

// mustRoll proposes, approves and rolls a change.
func mustRoll(t testing.TB, s *Store, id string, base uint64, content string) Pointer {
	t.Helper()
	mustApprove(t, s, id, base, content)
	at, err := s.Roll(t.Context(), id, "ana")
	assert.NilError(t, err)
	return at
}

// mustApprove proposes a change and approves it.
func mustApprove(t testing.TB, s *Store, id string, base uint64, content string) {
	t.Helper()
	p, err := s.Propose(t.Context(), Change{ID: id, Base: base, Content: content}, "ana")
	assert.NilError(t, err)
	_, err = s.Approve(t.Context(), id, p.Digest, "ben")
	assert.NilError(t, err)
}

func TestFirstRollAndRollback(t *testing.T) {
	ctx, s := t.Context(), NewStore(storetest.New())
	_, err := s.InForce(ctx)
	assert.ErrorIs(t, err, ErrNoVersion)
	assert.Equal(t, mustRoll(t, s, "one", 0, variant(t, 1)).Version, uint64(1))
	assert.Equal(t, mustRoll(t, s, "two", 1, variant(t, 2)).Version, uint64(2))
	old, err := s.InForceVersion(ctx, 1)
	assert.NilError(t, err)
	assert.Equal(t, mustRoll(t, s, "back", 2, old.Content).Version, uint64(3))

	a, err := s.InForce(ctx)
	assert.NilError(t, err)
	assert.Equal(t, a.Version, uint64(3))
	assert.Equal(t, a.Bundle.RetentionHours, 2)
	history, err := s.History(ctx, 2)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 2)
	assert.Equal(t, history[0].ChangeID, "back")
	assert.Equal(t, history[1].ChangeID, "two")
	again, err := s.Roll(ctx, "one", "ben")
	assert.NilError(t, err)
	assert.Equal(t, again.Version, uint64(1))
	assert.Equal(t, again.RolledBy, "ana")
}

func TestReviewShowsTheDifference(t *testing.T) {
	s := NewStore(storetest.New())
	mustRoll(t, s, "one", 0, "// first\n"+variant(t, 1))
	_, err := s.Propose(t.Context(), Change{ID: "two", Base: 1, Content: "// second\n" + variant(t, 1)}, "ana")
	assert.NilError(t, err)
	r, err := s.Review(t.Context(), "two")
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(r.Diff, "-// first\n+// second\n {"), r.Diff)
	assert.Equal(t, len(r.Findings), 0)
	assert.Equal(t, r.Current.Version, uint64(1))
}

func TestInvalidStepsAreRefused(t *testing.T) {
	ctx, s := t.Context(), NewStore(storetest.New())
	_, err := s.Propose(ctx, Change{ID: "a/b", Content: variant(t, 1)}, "ana")
	assert.ErrorIs(t, err, ErrBadChangeID)
	_, err = s.Propose(ctx, Change{ID: "a", Content: "{}"}, "ana")
	var findings *finding.Error
	assert.Assert(t, errors.As(err, &findings))
	_, err = s.Propose(ctx, Change{ID: "a", Base: 4, Content: variant(t, 1)}, "ana")
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	_, err = s.Proposal(ctx, "a")
	assert.ErrorIs(t, err, ErrChangeNotFound)

	p, err := s.Propose(ctx, Change{ID: "a", Content: variant(t, 1)}, "ana")
	assert.NilError(t, err)
	repeat, err := s.Propose(ctx, Change{ID: "a", Content: variant(t, 1)}, "ana")
	assert.NilError(t, err)
	assert.DeepEqual(t, repeat, p)
	_, err = s.Propose(ctx, Change{ID: "a", Content: variant(t, 2)}, "ana")
	assert.ErrorIs(t, err, ErrChangeIDTaken)

	_, err = s.Roll(ctx, "a", "ana")
	assert.ErrorIs(t, err, ErrNotApproved)
	_, err = s.Approve(ctx, "a", p.Digest, "ana")
	assert.ErrorIs(t, err, ErrSelfApproval)
	_, err = s.Approve(ctx, "a", strings.Repeat("0", 64), "ben")
	var digest *DigestError
	assert.Assert(t, errors.As(err, &digest))
	_, err = s.Roll(ctx, "a", "ana")
	assert.ErrorIs(t, err, ErrNotApproved)
}

func TestRacingOperators(t *testing.T) {
	ctx, s := t.Context(), NewStore(storetest.New())
	for i, operator := range []string{"ana", "ben"} {
		id := "change-" + operator
		p, err := s.Propose(ctx, Change{ID: id, Content: variant(t, i)}, operator)
		assert.NilError(t, err)
		_, err = s.Approve(ctx, id, p.Digest, "cai")
		assert.NilError(t, err)
	}
	won, err := s.Roll(ctx, "change-ben", "ben")
	assert.NilError(t, err)
	_, err = s.Roll(ctx, "change-ana", "ana")
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Winner, won)
	assert.Error(t, err, `change is based on version 0, but version 1 (change "change-ben") was rolled by "ben"`)
}

// A roll that fails after it stored the record and before it swapped
// bundle/current uses up a version number. The next roll must take the number
// after it, and the failed change must not appear as a version that was in force.
func TestStopBetweenRecordAndSwap(t *testing.T) {
	p := storetest.New()
	s := NewStore(p)
	mustRoll(t, s, "one", 0, variant(t, 1))
	for _, id := range []string{"lost", "next"} {
		proposal, err := s.Propose(t.Context(), Change{ID: id, Base: 1, Content: variant(t, len(id))}, "ana")
		assert.NilError(t, err)
		_, err = s.Approve(t.Context(), id, proposal.Digest, "ben")
		assert.NilError(t, err)
	}
	p.FailNext(storetest.OpSwap, 1, storetest.Unavailable)
	_, err := s.Roll(t.Context(), "lost", "ana")
	assert.ErrorIs(t, err, store.ErrUnavailable)
	at, err := s.Roll(t.Context(), "next", "ben")
	assert.NilError(t, err)
	assert.Equal(t, at.Version, uint64(3))
	_, err = s.Roll(t.Context(), "lost", "ana")
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	_, err = s.InForceVersion(t.Context(), 2)
	assert.ErrorIs(t, err, ErrVersionNotFound)
}

func TestWritesWithLostRepliesAreRetried(t *testing.T) {
	for _, fault := range []storetest.Fault{storetest.ReplyLost, storetest.RequestLost, storetest.Late} {
		for _, op := range []storetest.Op{storetest.OpCreate, storetest.OpSwap} {
			synctest.Test(t, func(t *testing.T) {
				p := storetest.New()
				s := NewStore(p)
				for i := range 3 {
					p.FailNext(op, 1+i%2, fault)
					at := mustRoll(t, s, fmt.Sprint("change-", i), uint64(i), variant(t, i))
					assert.Equal(t, at.Version, uint64(i+1))
				}
			})
		}
	}
}

func TestOutcomeStaysUnknownWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := storetest.New()
		s := NewStore(p)
		mustRoll(t, s, "one", 0, variant(t, 1))
		mustApprove(t, s, "two", 1, variant(t, 2))
		p.FailNext(storetest.OpSwap, 1, storetest.ReplyLost)
		p.FailNext(storetest.OpGet, 2, storetest.NoFault)
		p.FailNext(storetest.OpGet, 20, storetest.Unavailable)
		_, err := s.Roll(t.Context(), "two", "ana")
		assert.ErrorIs(t, err, store.ErrOutcomeUnknown)
		for {
			at, err := s.Roll(t.Context(), "two", "ana")
			if err == nil {
				assert.Equal(t, at.Version, uint64(2))
				return
			}
		}
	})
}

func TestLargeBundles(t *testing.T) {
	s := NewStore(storetest.New())
	many := "/*" + strings.Repeat("all the same ", 100_000) + "*/" + variant(t, 1)
	assert.Equal(t, mustRoll(t, s, "large", 0, many).Version, uint64(1))
	r, err := s.Version(t.Context(), 1)
	assert.NilError(t, err)
	assert.Assert(t, r.Content == many)

	rng := rand.New(rand.NewPCG(1, 1))
	var noise strings.Builder
	for noise.Len() < 2<<20 {
		fmt.Fprintf(&noise, "%x", rng.Uint64())
	}
	_, err = s.Propose(t.Context(), Change{ID: "noise", Base: 1, Content: "/*" + noise.String() + "*/" + variant(t, 1)}, "ana")
	var size *SizeError
	assert.Assert(t, errors.As(err, &size), "%v", err)
	assert.Assert(t, size.Compressed > store.MaxValueBytes)
}

func TestDiff(t *testing.T) {
	assert.Equal(t, Diff("a\nb", "a\nb"), "")
	assert.Equal(t, Diff("1\n2\n3\n4\n5\n6\n7\n8\n9", "1\n2\n3\n4\nx\n6\n7\n8\n9\n0"),
		"...\n 2\n 3\n 4\n-5\n+x\n 6\n 7\n 8\n 9\n+0\n")
}

func TestOldVersionsArePruned(t *testing.T) {
	p := storetest.New()
	s := NewStore(p)
	const rolls = KeptVersions + 20
	_, err := s.Propose(t.Context(), Change{ID: "abandoned", Content: variant(t, 1)}, "ana")
	assert.NilError(t, err)
	for i := range rolls {
		mustRoll(t, s, fmt.Sprint("change-", i+1), uint64(i), variant(t, i))
	}
	assert.Equal(t, len(p.Snapshot()), 2*KeptVersions+2)
	history, err := s.History(t.Context(), rolls)
	assert.NilError(t, err)
	assert.Equal(t, len(history), KeptVersions)
	_, err = s.Roll(t.Context(), "change-1", "ana")
	assert.ErrorIs(t, err, ErrChangeNotFound)
	at, err := s.Roll(t.Context(), "change-30", "ana")
	assert.NilError(t, err)
	assert.Equal(t, at.Version, uint64(30))

	for i := rolls; i < KeptVersions+versionsPerSweep; i++ {
		mustRoll(t, s, fmt.Sprint("change-", i+1), uint64(i), variant(t, i))
	}
	_, err = s.Proposal(t.Context(), "abandoned")
	assert.ErrorIs(t, err, ErrChangeNotFound)
	assert.Equal(t, len(p.Snapshot()), 2*KeptVersions+1)
}

// The response to the swap of a change is lost, another change is rolled on top of
// it, and the store fails while the first roll looks for its outcome. The result
// must be an unknown outcome, because the change did take effect.
func TestOutageWhileResolvingLeavesTheOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := storetest.New()
		s := NewStore(p)
		mustRoll(t, s, "one", 0, variant(t, 1))
		mustApprove(t, s, "two", 1, variant(t, 2))
		p.FailNext(storetest.OpSwap, 1, storetest.ReplyLost)
		rolled := make(chan error)
		go func() {
			_, err := s.Roll(t.Context(), "two", "ana")
			rolled <- err
		}()
		synctest.Wait()
		mustRoll(t, s, "three", 2, variant(t, 3))
		p.FailNext(storetest.OpGet, 1, storetest.NoFault)
		p.FailNext(storetest.OpGet, 1, storetest.Unavailable)
		assert.ErrorIs(t, <-rolled, store.ErrOutcomeUnknown)
		at, err := s.Roll(t.Context(), "two", "ana")
		assert.NilError(t, err)
		assert.Equal(t, at.Version, uint64(2))
	})
}
