package bundle

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// rollOp is one call of Roll, or a read of the version in force if id is
// empty.
type rollOp struct {
	id   string
	base uint64
}

// rollResult is what the call told.
type rollResult struct {
	// at is the version of the change, of its winner, or of the read.
	at uint64
	// lost is set if another change was rolled first.
	lost bool
	// unknown is set if nobody knows whether the change was put in force.
	unknown bool
	// refused is set if the change was surely not put in force by this call.
	refused bool
}

// register is the oracle: the version in force and the versions of all changes
// that were put in force, as "id=version;".
type register struct {
	version uint64
	rolled  string
}

func (r register) step(op rollOp, out rollResult) (bool, register) {
	if op.id == "" {
		return out.refused || out.at == r.version, r
	}
	done := strings.Contains(r.rolled, op.id+"=")
	switch {
	case out.refused:
		return true, r
	case out.lost:
		return !done && r.version != op.base && out.at == r.version, r
	case done:
		return out.unknown || strings.Contains(r.rolled, fmt.Sprintf("%s=%d;", op.id, out.at)), r
	case r.version != op.base:
		return out.unknown, r
	}
	if out.unknown {
		// The version of a change whose outcome is unknown is known only later.
		out.at = r.version + 1
	}
	next := register{version: out.at, rolled: fmt.Sprintf("%s%s=%d;", r.rolled, op.id, out.at)}
	return out.at > r.version, next
}

// states returns all states that an operation may lead to. An operation of
// unknown outcome may have had no effect, and any number may be its version.
func (r register) states(op rollOp, out rollResult) []register {
	if !out.unknown {
		if ok, next := r.step(op, out); ok {
			return []register{next}
		}
		return nil
	}
	found := []register{r}
	for n := r.version + 1; n <= r.version+maxOrphans; n++ {
		ok, next := r.step(op, rollResult{at: n})
		if ok && next != r {
			found = append(found, next)
		}
	}
	return found
}

// maxOrphans bounds the numbers that unfinished rolls may have taken.
const maxOrphans = 8

var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		var next []any
		for _, s := range state.(register).states(input.(rollOp), output.(rollResult)) {
			next = append(next, s)
		}
		return next
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v %+v", in, out) },
}).ToModel()

// opHistory records the operations of concurrent operators.
type opHistory struct {
	mu    sync.Mutex
	start time.Time
	tick  int64
	ops   []porcupine.Operation
}

// stamp returns the next time, in virtual nanoseconds with a tie break.
func (h *opHistory) stamp() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tick = max(h.tick+1, int64(time.Since(h.start)))
	return h.tick
}

// forever is the return time of an operation that may take effect at any time
// after its call.
const forever = int64(1) << 62

// run records one operation.
func (h *opHistory) run(client int, op rollOp, call func() rollResult) rollResult {
	began := h.stamp()
	out := call()
	ended := h.stamp()
	if out.unknown {
		ended = forever
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: began, Output: out, Return: ended})
	return out
}

// check returns an error with the history if the oracle does not allow it.
func (h *opHistory) check() error {
	result := porcupine.CheckOperationsTimeout(registerModel, h.ops, time.Minute)
	if result == porcupine.Ok {
		return nil
	}
	slices.SortFunc(h.ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var text strings.Builder
	for _, o := range h.ops {
		fmt.Fprintf(&text, "\n%d %d..%d %+v %+v", o.ClientId, o.Call, o.Return, o.Input, o.Output)
	}
	return fmt.Errorf("history is %s:%s", result, text.String())
}

// rollResultOf translates what Roll returned.
func rollResultOf(p Pointer, err error) rollResult {
	var conflict *ConflictError
	switch {
	case err == nil:
		return rollResult{at: p.Version}
	case errors.As(err, &conflict):
		return rollResult{at: conflict.Winner.Version, lost: true}
	case errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrOutcomeUnknown):
		return rollResult{refused: true}
	}
	return rollResult{unknown: true}
}

// operatorLoop proposes, approves and rolls changes, and repeats some rolls.
func operatorLoop(ctx context.Context, s *Store, h *opHistory, client, changes int, rng *rand.Rand, content string) {
	for i := range changes {
		id := fmt.Sprintf("op%d-%d", client, i)
		read := h.run(client, rollOp{}, func() rollResult {
			p, err := s.Current(ctx)
			if err != nil && !errors.Is(err, ErrNoVersion) {
				return rollResult{refused: true}
			}
			return rollResult{at: p.Version}
		})
		if read.refused {
			continue
		}
		p, err := s.Propose(ctx, Change{ID: id, Base: read.at, Content: content}, fmt.Sprint("operator-", client))
		if err != nil {
			continue
		}
		if _, err = s.Approve(ctx, id, p.Digest, "reviewer"); err != nil {
			continue
		}
		for range 1 + rng.IntN(3) {
			out := h.run(client, rollOp{id: id, base: read.at}, func() rollResult {
				return rollResultOf(s.Roll(ctx, id, fmt.Sprint("operator-", client)))
			})
			if !out.unknown && !out.refused && rng.IntN(2) == 0 {
				break
			}
		}
	}
}

// runOperators lets operators race over a store with faults.
func runOperators(t *testing.T, seed uint64, operators, changes int, faults storetest.RandomFaults) *opHistory {
	h := &opHistory{}
	content := variant(t, 1)
	synctest.Test(t, func(t *testing.T) {
		h.start = time.Now()
		plat := storetest.New()
		plat.SetLatency(2 * time.Millisecond)
		faults.Seed = seed
		plat.SetRandomFaults(faults)
		var wg sync.WaitGroup
		for i := range operators {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			// Operators never act in the same instant, so that a seed fixes the order.
			time.Sleep(time.Duration(1+rng.IntN(int(time.Millisecond))) * time.Nanosecond)
			wg.Go(func() { operatorLoop(t.Context(), NewStore(plat), h, i, changes, rng, content) })
		}
		wg.Wait()
	})
	return h
}

func TestRacingOperatorsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		operators := rapid.IntRange(1, 4).Draw(r, "operators")
		share := rapid.Float64Range(0, 0.15)
		faults := storetest.RandomFaults{
			Unavailable: share.Draw(r, "unavailable"),
			ReplyLost:   share.Draw(r, "reply lost"),
			RequestLost: share.Draw(r, "request lost"),
			Late:        share.Draw(r, "late"),
		}
		assert.NilError(r, runOperators(t, seed, operators, 4, faults).check())
	})
}

// The oracle refuses histories in which one of the guards would be missing.
func TestOracleRefusesFaultyHistories(t *testing.T) {
	op := func(client int, call, ret int64, in rollOp, out rollResult) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret}
	}
	first := op(0, 1, 2, rollOp{id: "a"}, rollResult{at: 1})
	for name, ops := range map[string][]porcupine.Operation{
		"two winners from one base":     {first, op(1, 3, 4, rollOp{id: "b"}, rollResult{at: 2})},
		"number used twice":             {first, op(1, 3, 4, rollOp{id: "b", base: 1}, rollResult{at: 1})},
		"change in force is lost":       {first, op(1, 3, 4, rollOp{id: "a"}, rollResult{at: 1, lost: true})},
		"read of an older version":      {first, op(1, 3, 4, rollOp{}, rollResult{at: 0})},
		"refused change was in force":   {op(0, 1, 2, rollOp{id: "a"}, rollResult{refused: true}), op(1, 3, 4, rollOp{}, rollResult{at: 1})},
		"repeat gives another version":  {first, op(1, 3, 4, rollOp{id: "a"}, rollResult{at: 2})},
		"loser is told a wrong version": {first, op(1, 3, 4, rollOp{id: "b"}, rollResult{at: 7, lost: true})},
	} {
		h := &opHistory{ops: ops}
		assert.Assert(t, h.check() != nil, name)
	}
	maybe := op(0, 1, forever, rollOp{id: "a"}, rollResult{unknown: true})
	h := &opHistory{ops: []porcupine.Operation{maybe, op(1, 3, 4, rollOp{}, rollResult{at: 0}), op(1, 5, 6, rollOp{}, rollResult{at: 1})}}
	assert.NilError(t, h.check())
}
