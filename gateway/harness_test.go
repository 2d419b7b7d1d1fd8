package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/dispatch"
	"github.com/jacinththread/jacinththread/internal/standin/engine"
	"github.com/jacinththread/jacinththread/internal/standin/plain"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer/peertest"
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/scheduler"
	"github.com/jacinththread/jacinththread/settings"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// fakeView is a membership view of two daemons: a gateway "g" and a scheduler "s".
type fakeView struct {
	mu       sync.Mutex
	servers  []membership.Server
	reported []string
	changed  chan struct{}
	// noScheduler is set while no scheduler is live.
	noScheduler bool
}

func (v *fakeView) Self() membership.Daemon { return membership.Daemon{Name: "g"} }

func (v *fakeView) Daemons() []membership.Daemon {
	return []membership.Daemon{{Name: "g", State: membership.Alive}, {Name: "s", State: membership.Alive}}
}

func (v *fakeView) Schedulers() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.noScheduler {
		return nil
	}
	return []string{"s"}
}

func (v *fakeView) setNoScheduler(noScheduler bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.noScheduler = noScheduler
	close(v.changed)
	v.changed = make(chan struct{})
}

// setServers replaces the servers.
func (v *fakeView) setServers(servers []membership.Server) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.servers = servers
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *fakeView) Servers(service string) []membership.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []membership.Server
	for _, s := range v.servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	return out
}

func (v *fakeView) Server(name string) (membership.Server, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i := slices.IndexFunc(v.servers, func(s membership.Server) bool { return s.Name == name })
	if i < 0 {
		return membership.Server{}, false
	}
	return v.servers[i], true
}

func (v *fakeView) ReportLeaving(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reported = append(v.reported, name)
	for i := range v.servers {
		if v.servers[i].Name == name {
			v.servers[i].Leaving = true
		}
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *fakeView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

type fixedBundle struct{ active *bundle.Active }

func (f fixedBundle) Current() *bundle.Active  { return f.active }
func (f fixedBundle) Changed() <-chan struct{} { return nil }

// harness runs a gateway and a scheduler on two daemons, with simulated backend
// servers.
type harness struct {
	t       *testing.T
	url     string
	view    *fakeView
	store   *storetest.Platform
	engines map[string]*engine.Engine
	ledger  *plain.Server
	metrics metrics.Registry

	gateway      *Gateway
	reservations *reservation.Manager
}

func testBundle() *bundle.Active {
	return bundle.NewActive(7, &bundle.Bundle{
		Classes: []bundle.Class{
			{Name: "counter", Tier: 0, FirstTokenMs: 3000, TokenGapMs: 500, OnMiss: bundle.OnMissRefuse, RetryBudget: 0.2},
			{Name: "batch", Tier: 5, FirstTokenMs: 10000, TokenGapMs: 500, OnMiss: bundle.OnMissServeLate, RetryBudget: 0.2},
		},
		Customers: []bundle.Customer{
			{Name: "north", TokenDigests: []string{bundle.TokenDigest("token-north")}, Classes: []string{"counter", "batch"}},
			{Name: "south", TokenDigests: []string{bundle.TokenDigest("token-south")}, Classes: []string{"batch"}},
		},
		Services: []bundle.Service{
			{Name: "llm", Kind: bundle.EngineService, Repeatable: true},
			{Name: "ledger", Kind: bundle.PlainService, SafeMethods: []string{"GET"}},
		},
		Pools: []bundle.Pool{
			{Name: "llm", Service: "llm", Models: []string{"m"}, Slots: 2, MaxSlots: 4},
			{Name: "ledger", Service: "ledger", Slots: 4, MaxSlots: 8},
		},
	})
}

func newHarness(t *testing.T, engines ...string) *harness {
	t.Helper()
	h := &harness{
		t:       t,
		view:    &fakeView{changed: make(chan struct{})},
		store:   storetest.New(),
		engines: map[string]*engine.Engine{},
		ledger:  plain.New(plain.Config{Name: "ledger-1"}),
		metrics: metrics.NewRegistry(),
	}
	for _, name := range engines {
		h.engines[name] = engine.New(engine.Config{Name: name, Slots: 4, Tokens: 8})
		h.serve(name, "llm", h.engines[name].Handler())
	}
	h.serve("ledger-1", "ledger", h.ledger.Handler())
	h.start()
	return h
}

func (h *harness) serve(name, service string, handler http.Handler) {
	s := httptest.NewServer(handler)
	h.t.Cleanup(s.Close)
	h.view.servers = append(h.view.servers, membership.Server{Name: name, Service: service, Addr: s.Listener.Addr().String()})
}

func (h *harness) start() {
	logger := log.New(io.Discard)
	network := peertest.NewNetwork(1)
	bundles := fixedBundle{testBundle()}
	sched := scheduler.New(scheduler.Config{
		Bus: network.Bus("s"), View: h.view, Bundles: bundles,
		QueueLimit: 100, GrantValidity: time.Second, Log: logger, Metrics: metrics.NewRegistry(),
	})
	assert.NilError(h.t, sched.Start(context.Background()))
	h.t.Cleanup(func() { assert.NilError(h.t, sched.Stop(context.Background())) })
	claimer := claims.New(claims.Config{Store: h.store, Owner: "g/1", Log: logger, Metrics: h.metrics})
	assert.NilError(h.t, claimer.Start(context.Background()))
	h.t.Cleanup(func() { assert.NilError(h.t, claimer.Stop(context.Background())) })
	h.reservations = reservation.NewManager(reservation.Config{
		Bus: network.Bus("g"), View: h.view, Bundles: bundles, SchedulersPerRequest: 3, Seed: 1, Metrics: h.metrics,
	})
	withheld := quarantine.New("g", func(uint64) string { return "g" }, logger, h.metrics)
	withheld.MarkSynced()
	h.gateway = New(Config{
		Bundles:        bundles,
		View:           h.view,
		Reservations:   h.reservations,
		Backends:       dispatch.New(dispatch.Config{MaxProgressTimeout: 2 * time.Second, Metrics: h.metrics}),
		Claims:         claimer,
		Quarantine:     withheld,
		Limits:         settings.Callers{MaxBodyBytes: 1 << 16, ReadTimeoutMs: 5000},
		EntryDirectory: http.NotFoundHandler(),
		Log:            logger,
		Metrics:        h.metrics,
		Tracer:         noop.NewTracerProvider().Tracer(""),
	})
	s := httptest.NewServer(h.gateway.Handler())
	h.t.Cleanup(s.Close)
	h.url = s.URL
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request as customer north. The header arguments are pairs of name
// and value; they may replace the Authorization header.
func (h *harness) call(method, path, body string, header ...string) response {
	h.t.Helper()
	req, err := http.NewRequest(method, h.url+path, strings.NewReader(body))
	assert.NilError(h.t, err)
	req.Header.Set("Authorization", "Bearer token-north")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(h.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

func (h *harness) chat(body string, header ...string) response {
	h.t.Helper()
	return h.call(http.MethodPost, chatPath, body, header...)
}
