package claims_test

import (
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/internal/proof"
	"github.com/jacinththread/jacinththread/store/storetest"
)

const (
	fuzzDaemons = 3
	fuzzKeys    = 2
	// fuzzSpan is the period in which calls begin and faults are injected.
	fuzzSpan = 8 * time.Second
	// fuzzSettle is how long the platform runs without faults before the final
	// verdicts are read. It is shorter than the retention, so that no claim
	// expires meanwhile.
	fuzzSettle = 5 * time.Minute
)

// fuzzCall is one request of a caller and how it ends.
type fuzzCall struct {
	At     time.Duration
	Daemon int
	Key    int
	Body   byte
	// DispatchDelay is the time from the claim to the dispatch. It includes the
	// time for which the daemon is paused.
	DispatchDelay time.Duration
	Work          time.Duration
	End           opKind
}

// fuzzFault is a fault that is injected at a time for a duration.
type fuzzFault struct {
	At     time.Duration
	Kind   faultKind
	Daemon int
	For    time.Duration
}

type faultKind string

const (
	faultOutage  faultKind = "outage"
	faultCrash   faultKind = "crash"
	faultSuspect faultKind = "suspect"
	faultSilent  faultKind = "silent"
)

// fuzzScript is the randomly drawn input of one simulation.
type fuzzScript struct {
	Calls   []fuzzCall
	Faults  []fuzzFault
	Random  storetest.RandomFaults
	LateBy  time.Duration
	Latency time.Duration
}

func drawDuration(longest time.Duration) *rapid.Generator[time.Duration] {
	return rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(longest/time.Millisecond)).Draw(t, "ms")) * time.Millisecond
	})
}

var drawCall = rapid.Custom(func(t *rapid.T) fuzzCall {
	think := time.Duration(0)
	if rapid.IntRange(0, 3).Draw(t, "paused") == 0 {
		think = drawDuration(20*time.Second).Draw(t, "think")
	}
	return fuzzCall{
		At:            drawDuration(fuzzSpan).Draw(t, "at"),
		Daemon:        rapid.IntRange(0, fuzzDaemons-1).Draw(t, "daemon"),
		Key:           rapid.IntRange(0, fuzzKeys-1).Draw(t, "key"),
		Body:          rapid.SampledFrom([]byte{'a', 'a', 'a', 'b'}).Draw(t, "body"),
		DispatchDelay: think,
		Work:          drawDuration(2*time.Second).Draw(t, "work"),
		End:           rapid.SampledFrom([]opKind{opFinish, opFinish, opAbandon, opRelease, opRelease}).Draw(t, "end"),
	}
})

var drawFault = rapid.Custom(func(t *rapid.T) fuzzFault {
	return fuzzFault{
		At:     drawDuration(fuzzSpan).Draw(t, "at"),
		Kind:   rapid.SampledFrom([]faultKind{faultOutage, faultCrash, faultSuspect, faultSilent}).Draw(t, "kind"),
		Daemon: rapid.IntRange(0, fuzzDaemons-1).Draw(t, "daemon"),
		For:    drawDuration(4*time.Second).Draw(t, "for"),
	}
})

var drawScript = rapid.Custom(func(t *rapid.T) fuzzScript {
	share := rapid.SampledFrom([]float64{0, 0, 0.1, 0.3})
	return fuzzScript{
		Calls:  rapid.SliceOfN(drawCall, 2, 16).Draw(t, "calls"),
		Faults: rapid.SliceOfN(drawFault, 0, 4).Draw(t, "faults"),
		Random: storetest.RandomFaults{
			Seed:        rapid.Uint64().Draw(t, "seed"),
			Unavailable: share.Draw(t, "unavailable"),
			ReplyLost:   share.Draw(t, "reply lost"),
			RequestLost: share.Draw(t, "request lost"),
			Late:        share.Draw(t, "late"),
		},
		LateBy:  drawDuration(10*time.Second).Draw(t, "late by"),
		Latency: drawDuration(20*time.Millisecond).Draw(t, "latency"),
	}
})

// instance is one incarnation of a daemon. A restart after a crash creates a
// new one.
type instance struct {
	owner   string
	service *claims.Service
	link    *storetest.Link
	crashed bool
}

// simulation runs the daemons, calls and faults of one script and records the
// history.
type simulation struct {
	t          *testing.T
	store      *storetest.Platform
	hist       *history
	calls      sync.WaitGroup
	mu         sync.Mutex
	daemons    [fuzzDaemons]*instance
	started    int
	dead       map[string]bool
	dispatches map[string]int
	// open is the number of attempts by key that hold a claim and have not
	// released it.
	open     map[string]int
	finished map[string]string
}

func newSimulation(t *testing.T, s fuzzScript) *simulation {
	w := &simulation{
		t: t, store: storetest.New(), hist: &history{start: time.Now()},
		dead: map[string]bool{}, dispatches: map[string]int{},
		open: map[string]int{}, finished: map[string]string{},
	}
	w.store.SetLatency(s.Latency)
	w.store.SetLateBy(s.LateBy)
	w.store.SetRandomFaults(s.Random)
	for i := range w.daemons {
		w.daemons[i] = w.startInstance(i)
	}
	return w
}

func (w *simulation) startInstance(n int) *instance {
	w.started++
	in := &instance{owner: fmt.Sprintf("d%d#%d", n, w.started), link: w.store.Link()}
	in.service = claims.New(claims.Config{
		Store:       in.link,
		Owner:       in.owner,
		OwnerAlive:  w.alive,
		CallTimeout: 500 * time.Millisecond,
	})
	assert.NilError(w.t, in.service.Start(w.t.Context()))
	return in
}

func (w *simulation) alive(owner string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead[owner]
}

// markDead makes all daemons treat an owner as dead. The recorded operation
// starts one second earlier, because Begin reads the store before it checks
// whether the owner is alive.
func (w *simulation) markDead(owner string) {
	call := w.hist.stamp() - int64(time.Second)
	w.mu.Lock()
	w.dead[owner] = true
	w.mu.Unlock()
	w.hist.add(op{kind: opOwnerDies, owner: owner}, call, w.hist.stamp())
}

func (w *simulation) daemon(n int) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.daemons[n]
}

func (w *simulation) fault(f fuzzFault) {
	time.Sleep(f.At)
	in := w.daemon(f.Daemon)
	switch f.Kind {
	case faultOutage:
		w.store.SetDown(true)
		time.Sleep(f.For)
		w.store.SetDown(false)
	case faultSuspect:
		w.markDead(in.owner)
	case faultSilent:
		in.link.Set(storetest.LinkSilent)
		time.Sleep(f.For)
		if !w.isCrashed(in) {
			in.link.Set(storetest.LinkUp)
		}
	case faultCrash:
		w.crash(f.Daemon, in)
	}
}

func (w *simulation) isCrashed(in *instance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return in.crashed
}

func (w *simulation) crash(n int, in *instance) {
	w.mu.Lock()
	if in.crashed {
		w.mu.Unlock()
		return
	}
	in.crashed = true
	w.daemons[n] = w.startInstance(n)
	w.mu.Unlock()
	in.link.Set(storetest.LinkDown)
	w.stop(in)
	w.markDead(in.owner)
}

func (w *simulation) stop(in *instance) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = in.service.Stop(ctx)
}

func keyName(n int) string { return "key" + strconv.Itoa(n) }

func (w *simulation) begin(in *instance, key string, body byte) (claims.Attempt, op) {
	o := op{kind: opBegin, key: key, owner: in.owner, body: body}
	call := w.hist.stamp()
	k := claims.Key{Customer: "c", Service: "s", Token: key}
	a, err := in.service.Begin(w.t.Context(), k, sha256.Sum256([]byte{body}))
	assert.NilError(w.t, err)
	o.attempt, o.verdict = a.ID, a.Verdict
	if a.Response != nil {
		o.response = string(a.Response.Body)
	}
	w.hist.add(o, call, w.hist.stamp())
	return a, o
}

// call runs one caller's request through a daemon.
func (w *simulation) call(c fuzzCall) {
	time.Sleep(c.At)
	in := w.daemon(c.Daemon)
	a, o := w.begin(in, keyName(c.Key), c.Body)
	if a.Verdict != claims.Run {
		return
	}
	w.addOpen(o.key, 1)
	time.Sleep(c.DispatchDelay)
	if c.End == opRelease {
		w.release(in, a, o)
		return
	}
	if !w.dispatch(in, o) {
		return
	}
	time.Sleep(c.Work)
	w.record(in, a, o, c.End)
}

func (w *simulation) addOpen(key string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[key] += n
}

func (w *simulation) release(in *instance, a claims.Attempt, o op) {
	if w.isCrashed(in) {
		return
	}
	w.addOpen(o.key, -1)
	o.kind = opRelease
	w.hist.add(o, w.hist.stamp(), forever)
	in.service.Release(a)
}

// dispatch stands for the backend server and counts how often each key runs.
func (w *simulation) dispatch(in *instance, o op) bool {
	if w.isCrashed(in) {
		return false
	}
	w.mu.Lock()
	w.dispatches[o.key]++
	w.mu.Unlock()
	o.kind = opDispatch
	w.hist.add(o, w.hist.stamp(), w.hist.stamp())
	return true
}

func (w *simulation) record(in *instance, a claims.Attempt, o op, end opKind) {
	if w.isCrashed(in) {
		return
	}
	o.kind, o.response = end, "response of "+a.ID
	call, ret := w.hist.stamp(), forever
	var err error
	if end == opFinish {
		err = in.service.Finish(w.t.Context(), a, claims.Response{Status: 200, Body: []byte(o.response)})
		w.mu.Lock()
		w.finished[o.key] = o.response
		w.mu.Unlock()
	} else {
		err = in.service.Abandon(w.t.Context(), a)
	}
	if err == nil {
		ret = w.hist.stamp()
	}
	w.hist.add(o, call, ret)
}

// runResult is the state at the end of a simulation.
type runResult struct {
	hist    *history
	ran     map[string]int
	crashed bool
	// finalVerdicts holds the result of a new attempt on each key after all
	// faults.
	finalVerdicts map[string]op
	open          map[string]int
	finished      map[string]string
}

func runScript(t *testing.T, s fuzzScript) runResult {
	w := newSimulation(t, s)
	for _, f := range s.Faults {
		w.calls.Go(func() { w.fault(f) })
	}
	for _, c := range s.Calls {
		w.calls.Go(func() { w.call(c) })
	}
	w.calls.Wait()
	w.store.SetDown(false)
	w.store.SetRandomFaults(storetest.RandomFaults{})
	time.Sleep(fuzzSettle)
	out := runResult{hist: w.hist, ran: w.dispatches, open: w.open, finished: w.finished, finalVerdicts: map[string]op{}}
	for k := range fuzzKeys {
		_, o := w.begin(w.daemons[0], keyName(k), 'a')
		out.finalVerdicts[o.key] = o
	}
	out.crashed = w.started > fuzzDaemons
	for _, in := range w.daemons {
		w.stop(in)
	}
	return out
}

// check returns the first violation in a simulation.
func (s runResult) check() error {
	for key, n := range s.ran {
		if n > 1 {
			return fmt.Errorf("%s was dispatched %d times", key, n)
		}
	}
	if err := s.hist.check(); err != nil {
		return err
	}
	if s.crashed {
		return nil
	}
	for key, o := range s.finalVerdicts {
		if err := s.checkFinalVerdict(key, o); err != nil {
			return err
		}
	}
	return nil
}

// checkFinalVerdict checks that no key stays claimed without a running attempt
// and that no response is lost. It applies to simulations without a crash.
func (s runResult) checkFinalVerdict(key string, o op) error {
	response, finished := s.finished[key]
	switch {
	case s.open[key] == 0 && o.verdict != claims.Run:
		return fmt.Errorf("%s has no open attempt but a new attempt got verdict %s", key, o.verdict)
	case finished && o.verdict != claims.Replay && o.verdict != claims.Mismatch:
		return fmt.Errorf("%s finished but a retry got verdict %s", key, o.verdict)
	case finished && o.verdict == claims.Replay && o.response != response:
		return fmt.Errorf("%s recorded response %q but replayed %q", key, response, o.response)
	}
	return nil
}

// TestProofAtMostOnce checks that no call is dispatched twice and that every
// verdict is allowed by the model in keyState. It runs random scripts of
// concurrent daemons with store outages, lost and late writes, silent links,
// crashes and live owners that are taken for dead.
func TestProofAtMostOnce(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	seeds := proof.Seeds(t, 1, 4)
	histories, events, violations := 0, 0, 0
	for _, seed := range seeds {
		assert.NilError(t, flag.Set("rapid.seed", strconv.FormatUint(seed, 10)))
		ok := t.Run(fmt.Sprint("seed ", seed), rapid.MakeCheck(func(rt *rapid.T) {
			out := runInBubble(t, drawScript.Draw(rt, "script"))
			histories++
			events += len(out.hist.ops)
			if err := out.check(); err != nil {
				rt.Fatal(err)
			}
		}))
		if !ok {
			violations++
		}
	}
	proof.Line(proof.AtMostOnce, histories, events, violations, seeds)
}

func runInBubble(t *testing.T, s fuzzScript) (out runResult) {
	synctest.Test(t, func(t *testing.T) { out = runScript(t, s) })
	return out
}
