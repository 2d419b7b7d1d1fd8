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

// rollOp is a call of Roll or, if id is empty, a read of the version in force.
type rollOp struct {
	id   string
	base uint64
}

// rollResult is the result of a rollOp.
type rollResult struct {
	// version is the version that was rolled or read. If lost is set, it is the
	// version in force instead.
	version uint64
	// lost is set if another change was rolled first.
	lost bool
	// unknown is set if the change may or may not have been put in force.
	unknown bool
	// refused is set if the call had no effect.
	refused bool
}

// register is the state of the sequential model that histories are checked
// against: the version in force, and the versions of all changes that were put in
// force as "id=version;".
type register struct {
	version uint64
	rolled  string
}

func (r register) step(op rollOp, out rollResult) (bool, register) {
	if op.id == "" {
		return out.refused || out.version == r.version, r
	}
	done := strings.Contains(r.rolled, op.id+"=")
	switch {
	case out.refused:
		return true, r
	case out.lost:
		return !done && r.version != op.base && out.version == r.version, r
	case done:
		return out.unknown || strings.Contains(r.rolled, fmt.Sprintf("%s=%d;", op.id, out.version)), r
	case r.version != op.base:
		return out.unknown, r
	}
	if out.unknown {
		// Only a later operation shows the version of a change whose outcome is
		// unknown.
		out.version = r.version + 1
	}
	next := register{version: out.version, rolled: fmt.Sprintf("%s%s=%d;", r.rolled, op.id, out.version)}
	return out.version > r.version, next
}

// states returns all states that may follow an operation. One of unknown outcome
// either had no effect, or put the change in force with any of the next
// maxOrphans version numbers.
func (r register) states(op rollOp, out rollResult) []register {
	if !out.unknown {
		if ok, next := r.step(op, out); ok {
			return []register{next}
		}
		return nil
	}
	found := []register{r}
	for n := r.version + 1; n <= r.version+maxOrphans; n++ {
		ok, next := r.step(op, rollResult{version: n})
		if ok && next != r {
			found = append(found, next)
		}
	}
	return found
}

// maxOrphans limits the version numbers that unfinished rolls may have used.
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

// stamp returns the virtual time in nanoseconds, increased where needed so that
// no two stamps are equal.
func (h *opHistory) stamp() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tick = max(h.tick+1, int64(time.Since(h.start)))
	return h.tick
}

// forever is the return time of an operation of unknown outcome, which may take
// effect at any time after its call.
const forever = int64(1) << 62

// run executes and records one operation.
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

// check returns an error with the whole history if it is not linearizable
// against the model.
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

// rollResultOf converts the return values of Roll.
func rollResultOf(p Pointer, err error) rollResult {
	var conflict *ConflictError
	switch {
	case err == nil:
		return rollResult{version: p.Version}
	case errors.As(err, &conflict):
		return rollResult{version: conflict.Winner.Version, lost: true}
	case errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrOutcomeUnknown):
		return rollResult{refused: true}
	}
	return rollResult{unknown: true}
}

// operatorLoop proposes, approves and rolls changes one after the other, and
// repeats some of the rolls.
func operatorLoop(ctx context.Context, s *Store, h *opHistory, client, changes int, rng *rand.Rand, content string) {
	for i := range changes {
		id := fmt.Sprintf("op%d-%d", client, i)
		read := h.run(client, rollOp{}, func() rollResult {
			p, err := s.Current(ctx)
			if err != nil && !errors.Is(err, ErrNoVersion) {
				return rollResult{refused: true}
			}
			return rollResult{version: p.Version}
		})
		if read.refused {
			continue
		}
		p, err := s.Propose(ctx, Change{ID: id, Base: read.version, Content: content}, fmt.Sprint("operator-", client))
		if err != nil {
			continue
		}
		if _, err = s.Approve(ctx, id, p.Digest, "reviewer"); err != nil {
			continue
		}
		for range 1 + rng.IntN(3) {
			out := h.run(client, rollOp{id: id, base: read.version}, func() rollResult {
				return rollResultOf(s.Roll(ctx, id, fmt.Sprint("operator-", client)))
			})
			if !out.unknown && !out.refused && rng.IntN(2) == 0 {
				break
			}
		}
	}
}

// runOperators runs concurrent operators against a store with random faults.
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
			// Distinct start times make the order of events depend on the seed only.
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

// Each history shows what an implementation without one of its safeguards would
// do. The model must reject all of them.
func TestModelRejectsInvalidHistories(t *testing.T) {
	op := func(client int, call, ret int64, in rollOp, out rollResult) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret}
	}
	first := op(0, 1, 2, rollOp{id: "a"}, rollResult{version: 1})
	for name, ops := range map[string][]porcupine.Operation{
		"two winners from one base":         {first, op(1, 3, 4, rollOp{id: "b"}, rollResult{version: 2})},
		"number used twice":                 {first, op(1, 3, 4, rollOp{id: "b", base: 1}, rollResult{version: 1})},
		"rolled change reports a conflict":  {first, op(1, 3, 4, rollOp{id: "a"}, rollResult{version: 1, lost: true})},
		"read of an older version":          {first, op(1, 3, 4, rollOp{}, rollResult{version: 0})},
		"change without effect is in force": {op(0, 1, 2, rollOp{id: "a"}, rollResult{refused: true}), op(1, 3, 4, rollOp{}, rollResult{version: 1})},
		"repeat returns another version":    {first, op(1, 3, 4, rollOp{id: "a"}, rollResult{version: 2})},
		"conflict names a wrong version":    {first, op(1, 3, 4, rollOp{id: "b"}, rollResult{version: 7, lost: true})},
	} {
		h := &opHistory{ops: ops}
		assert.Assert(t, h.check() != nil, name)
	}
	maybe := op(0, 1, forever, rollOp{id: "a"}, rollResult{unknown: true})
	h := &opHistory{ops: []porcupine.Operation{maybe, op(1, 3, 4, rollOp{}, rollResult{version: 0}), op(1, 5, 6, rollOp{}, rollResult{version: 1})}}
	assert.NilError(t, h.check())
}
