package reservation

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/peer/peertest"
	"github.com/jacinththread/jacinththread/policy"
	"github.com/jacinththread/jacinththread/scheduler"
)

// fakeView is a membership of the given daemons and the servers e1 to e9.
type fakeView struct {
	membership.View
	mu      sync.Mutex
	daemons []string
	leaving []string
	// remote names the servers of another region.
	remote  []string
	changed chan struct{}
}

func (v *fakeView) Self() membership.Daemon { return membership.Daemon{Name: "gw", Region: "here"} }

func (v *fakeView) Schedulers() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.daemons
}

func (v *fakeView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *fakeView) remove(daemon string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.daemons = slices.DeleteFunc(slices.Clone(v.daemons), func(n string) bool { return n == daemon })
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *fakeView) Server(name string) (membership.Server, bool) {
	region := "here"
	if slices.Contains(v.remote, name) {
		region = "elsewhere"
	}
	return membership.Server{Name: name, Service: "llm", Region: region, Leaving: slices.Contains(v.leaving, name)}, true
}

func (v *fakeView) Servers(string) []membership.Server {
	var out []membership.Server
	for _, n := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"} {
		s, _ := v.Server(n)
		out = append(out, s)
	}
	return out
}

type noBundle struct{}

func (noBundle) Current() *bundle.Active  { return nil }
func (noBundle) Changed() <-chan struct{} { return nil }

// fakeScheduler records the messages it receives.
type fakeScheduler struct {
	bus      peer.Bus
	reserves []*scheduler.Reserve
	accepts  []uint64
	declines []uint64
	cancels  int
	done     []*scheduler.Done
	declared []*scheduler.Declare
	// answer, if not nil, returns the response to a Reserve message.
	answer func(r *scheduler.Reserve) peer.Message
}

func newFakeScheduler(n *peertest.Network, name string) *fakeScheduler {
	f := &fakeScheduler{bus: n.Bus(name)}
	f.bus.Handle(peer.KindReserve, func() peer.Message { return new(scheduler.Reserve) }, func(from string, m peer.Message) {
		r := m.(*scheduler.Reserve)
		f.reserves = append(f.reserves, r)
		if f.answer != nil {
			_ = f.bus.Send(from, f.answer(r))
		}
	})
	f.bus.Handle(peer.KindAccept, func() peer.Message { return new(scheduler.Accept) }, func(_ string, m peer.Message) {
		f.accepts = append(f.accepts, m.(*scheduler.Accept).GrantID)
	})
	f.bus.Handle(peer.KindDecline, func() peer.Message { return new(scheduler.Decline) }, func(_ string, m peer.Message) {
		f.declines = append(f.declines, m.(*scheduler.Decline).GrantID)
	})
	f.bus.Handle(peer.KindCancel, func() peer.Message { return new(scheduler.Cancel) }, func(string, peer.Message) { f.cancels++ })
	f.bus.Handle(peer.KindDone, func() peer.Message { return new(scheduler.Done) }, func(_ string, m peer.Message) {
		f.done = append(f.done, m.(*scheduler.Done))
	})
	f.bus.Handle(peer.KindDeclare, func() peer.Message { return new(scheduler.Declare) }, func(_ string, m peer.Message) {
		f.declared = append(f.declared, m.(*scheduler.Declare))
	})
	return f
}

func (f *fakeScheduler) grant(id, grantID uint64, server string) {
	_ = f.bus.Send("gw", &scheduler.Grant{ID: id, GrantID: grantID, Server: server, ValidMs: 1000})
}

type fixture struct {
	view       *fakeView
	manager    *Manager
	schedulers map[string]*fakeScheduler
	network    *peertest.Network
}

func newFixture(daemons ...string) *fixture {
	f := &fixture{
		view:       &fakeView{daemons: daemons, changed: make(chan struct{})},
		schedulers: map[string]*fakeScheduler{},
		network:    peertest.NewNetwork(1),
	}
	for _, d := range daemons {
		f.schedulers[d] = newFakeScheduler(f.network, d)
	}
	f.manager = NewManager(Config{
		Bus: f.network.Bus("gw"), View: f.view, Bundles: noBundle{}, SchedulersPerRequest: 2, Seed: 1, Metrics: metrics.NewRegistry(),
	})
	return f
}

func spec(tier int) Spec {
	now := time.Now()
	return Spec{
		Pool:    &bundle.Pool{Name: "llm", Service: "llm"},
		Class:   &bundle.Class{Name: "c", Tier: tier},
		Arrived: now,
		Target:  now.Add(time.Second),
	}
}

// acquired holds the return values of an Acquire call.
type acquired struct {
	slot *Slot
	err  error
}

// acquire calls Acquire on a new goroutine and waits until it blocks.
func (f *fixture) acquire(ctx context.Context, s Spec) <-chan acquired {
	out := make(chan acquired, 1)
	go func() {
		slot, err := f.manager.Acquire(ctx, s)
		out <- acquired{slot, err}
	}()
	synctest.Wait()
	return out
}

// deliverMessages lets virtual time pass until the network has delivered all
// messages and their handlers have run.
func deliverMessages() {
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
}

func TestFirstGrantIsAcceptedAndOthersAreDeclined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a", "b")
		out := f.acquire(t.Context(), spec(0))
		deliverMessages()
		id := f.schedulers["a"].reserves[0].ID
		first, second := f.schedulers["a"], f.schedulers["b"]
		first.grant(id, 1, "e1")
		deliverMessages()
		first.grant(id, 1, "e1")
		second.grant(id, 9, "e2")
		deliverMessages()
		got := <-out
		assert.NilError(t, got.err)
		assert.Equal(t, got.slot.Server.Name, "e1")
		assert.DeepEqual(t, first.accepts, []uint64{1, 1})
		assert.Equal(t, len(first.declines), 0, "a repeated grant must be accepted again")
		assert.Equal(t, len(second.accepts), 0)
		assert.DeepEqual(t, second.declines, []uint64{9})
		got.slot.Done(Report{Outcome: scheduler.OutcomeOK, Tokens: 4})
		deliverMessages()
		assert.Equal(t, first.done[0].Tokens, uint32(4))
		assert.Equal(t, f.manager.InFlight(), 0)
	})
}

// preferredOf returns the scheduler that owns the server preferred for a prompt
// prefix, and another scheduler.
func (f *fixture) preferredOf(s Spec) (preferred, other *fakeScheduler) {
	f.manager.mu.Lock()
	defer f.manager.mu.Unlock()
	a := f.manager.assignment(s.Pool)
	name := a.Daemons[a.PreferredServer(s.Prefix)]
	for n, sched := range f.schedulers {
		if n != name {
			other = sched
		}
	}
	return f.schedulers[name], other
}

func TestSchedulerOfCachedPromptIsAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a", "b")
		s := spec(0)
		s.Prefix = 5
		preferred, other := f.preferredOf(s)
		out := f.acquire(t.Context(), s)
		time.Sleep(preferredAnswerTimeout / 2)
		preferred.grant(preferred.reserves[0].ID, 1, "e1")
		assert.NilError(t, (<-out).err)
		time.Sleep(2 * preferredAnswerTimeout)
		synctest.Wait()
		assert.Equal(t, len(other.reserves), 0)
	})
}

func TestOthersAreAskedWhenPreferredSchedulerQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a", "b")
		s := spec(0)
		s.Prefix = 5
		preferred, other := f.preferredOf(s)
		preferred.answer = func(r *scheduler.Reserve) peer.Message { return &scheduler.Queued{ID: r.ID} }
		out := f.acquire(t.Context(), s)
		time.Sleep(preferredAnswerTimeout / 2)
		synctest.Wait()
		assert.Equal(t, len(other.reserves), 1)
		other.grant(other.reserves[0].ID, 1, "e1")
		assert.NilError(t, (<-out).err)
	})
}

func TestOthersAreAskedWhenPreferredSchedulerDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a", "b")
		s := spec(0)
		s.Prefix = 5
		_, other := f.preferredOf(s)
		out := f.acquire(t.Context(), s)
		time.Sleep(2 * preferredAnswerTimeout)
		synctest.Wait()
		assert.Equal(t, len(other.reserves), 1)
		other.grant(other.reserves[0].ID, 1, "e1")
		assert.NilError(t, (<-out).err)
	})
}

func TestLostReservationIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a")
		f.network.Cut("gw", "a")
		out := f.acquire(t.Context(), spec(0))
		deliverMessages()
		assert.Equal(t, len(f.schedulers["a"].reserves), 0)
		f.network.Heal("gw", "a")
		time.Sleep(refreshInterval)
		deliverMessages()
		assert.Equal(t, len(f.schedulers["a"].reserves), 1)
		f.schedulers["a"].grant(f.schedulers["a"].reserves[0].ID, 1, "e1")
		got := <-out
		assert.NilError(t, got.err)
	})
}

func TestRenewalIntervalGrowsWithTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a")
		var sent atomic.Int32
		f.schedulers["a"].answer = func(r *scheduler.Reserve) peer.Message {
			sent.Add(1)
			return &scheduler.Queued{ID: r.ID}
		}
		ctx, cancel := context.WithCancel(t.Context())
		out := f.acquire(ctx, spec(0))
		time.Sleep(2 * time.Minute)
		n := sent.Load()
		assert.Assert(t, n <= 20, "%d reservations sent in two minutes", n)
		time.Sleep(maxRenewInterval + refreshInterval)
		assert.Assert(t, sent.Load() > n)
		cancel()
		assert.ErrorIs(t, (<-out).err, context.Canceled)
	})
}

func TestLostSchedulerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a", "b", "c")
		out := f.acquire(t.Context(), spec(0))
		deliverMessages()
		var removed, unused string
		for name, s := range f.schedulers {
			if len(s.reserves) > 0 {
				removed = name
			} else {
				unused = name
			}
		}
		f.view.remove(removed)
		time.Sleep(refreshInterval)
		deliverMessages()
		assert.Equal(t, len(f.schedulers[unused].reserves), 1)
		f.schedulers[unused].grant(f.schedulers[unused].reserves[0].ID, 1, "e1")
		assert.NilError(t, (<-out).err)
	})
}

func refuseQueueFull(r *scheduler.Reserve) peer.Message {
	return &scheduler.Infeasible{ID: r.ID, Reason: scheduler.ReasonQueueFull, RetryAfterMs: 700}
}

func TestHigherTiersAskMoreSchedulersBeforeRefusal(t *testing.T) {
	asked := func(tier int) (n int, err error) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture("a", "b", "c", "d", "e")
			for _, s := range f.schedulers {
				s.answer = refuseQueueFull
			}
			out := f.acquire(t.Context(), spec(tier))
			err = (<-out).err
			for _, s := range f.schedulers {
				n += len(s.reserves)
			}
		})
		return n, err
	}
	lowest, err := asked(bundle.MaxTiers - 1)
	assert.Equal(t, lowest, 2)
	var refused *Refusal
	assert.Assert(t, errorAs(err, &refused))
	assert.Equal(t, refused.RetryAfter, 700*time.Millisecond)
	highest, _ := asked(0)
	assert.Equal(t, highest, 5)
}

func errorAs(err error, target **Refusal) bool {
	r, ok := err.(*Refusal)
	*target = r
	return ok
}

func TestCanceledContextCancelsAtAllSchedulers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a", "b")
		ctx, cancel := context.WithCancel(t.Context())
		out := f.acquire(ctx, spec(0))
		deliverMessages()
		cancel()
		assert.ErrorIs(t, (<-out).err, context.Canceled)
		deliverMessages()
		assert.Equal(t, f.schedulers["a"].cancels, 1)
		assert.Equal(t, f.schedulers["b"].cancels, 1)
	})
}

func TestRequestIsRefusedAtItsStartDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a", "b")
		s := spec(0)
		s.StartDeadline = s.Target
		start := time.Now()
		out := f.acquire(t.Context(), s)
		var refused *Refusal
		assert.Assert(t, errorAs((<-out).err, &refused))
		assert.Equal(t, refused.Reason, scheduler.ReasonDeadline)
		assert.Equal(t, time.Since(start), time.Second)
	})
}

func TestGrantOfLeavingServerIsDeclined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a")
		f.view.leaving = []string{"e1"}
		out := f.acquire(t.Context(), spec(0))
		deliverMessages()
		id := f.schedulers["a"].reserves[0].ID
		f.schedulers["a"].grant(id, 1, "e1")
		deliverMessages()
		assert.DeepEqual(t, f.schedulers["a"].declines, []uint64{1})
		assert.Equal(t, len(f.schedulers["a"].reserves), 2, "the reservation must be sent again")
		f.schedulers["a"].grant(id, 2, "e2")
		got := <-out
		assert.NilError(t, got.err)
		assert.Equal(t, got.slot.Server.Name, "e2")
	})
}

func TestRunningRequestsAreDeclared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a")
		out := f.acquire(t.Context(), spec(0))
		deliverMessages()
		f.schedulers["a"].grant(f.schedulers["a"].reserves[0].ID, 1, "e1")
		got := <-out
		assert.NilError(t, got.err)
		_ = f.schedulers["a"].bus.Send("gw", &scheduler.DeclareRequest{Seq: 5, Servers: []string{"e1", "e3"}})
		deliverMessages()
		assert.Equal(t, f.schedulers["a"].declared[0].Seq, uint64(5))
		assert.Equal(t, f.schedulers["a"].declared[0].Running[0].Server, "e1")
	})
}

// Schedulers own only the servers of their own region. A reservation sent to the
// scheduler that a server of another region maps to would find no server there.
func TestServersOfOtherRegionsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture("a", "b", "c")
		f.view.remote = []string{"e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}
		ctx, cancel := context.WithCancel(t.Context())
		out := f.acquire(ctx, spec(0))
		deliverMessages()
		for name, s := range f.schedulers {
			owns := name == policy.Assign("e1", f.view.daemons)
			assert.Equal(t, len(s.reserves) == 1, owns, name)
		}
		cancel()
		assert.ErrorIs(t, (<-out).err, context.Canceled)
	})
}
