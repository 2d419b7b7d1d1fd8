package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/internal/proctest"
	"github.com/jacinththread/jacinththread/internal/standin/engine"
	"github.com/jacinththread/jacinththread/internal/standin/plain"
	standinplatform "github.com/jacinththread/jacinththread/internal/standin/platform"
	"github.com/jacinththread/jacinththread/settings"
	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/httpstore"
)

const (
	llmService    = "pembantu-llm"
	postService   = "permohonan-app"
	daemonService = "jacinththread"
	model         = "pembantu-1"
	callerToken   = "caller-token"
	region        = "utara"
	peerKey       = "00112233445566778899aabbccddeeff"

	// entryTTL is how long callers may cache the address of a daemon.
	entryTTL = time.Second
	// silenceTimeout is how long a daemon waits for progress of a stream.
	silenceTimeout = 1500 * time.Millisecond
	// readyTimeout limits the wait until a deployment is ready. It is long enough
	// for a busy machine.
	readyTimeout = 60 * time.Second
)

var domains = []string{"prai", "bukit-tengah", "butterworth"}

// backend is one backend server of a deployment.
type backend struct {
	name    string
	service string
	addr    string
	relay   *relay
	leaving bool
}

// daemon is one daemon of a deployment. A restart replaces proc.
type daemon struct {
	name      string
	domain    string
	callers   string
	peers     string
	operators string
	relay     *relay
	config    string
	proc      *proctest.Process
}

// deployment is a complete system on loopback addresses: the platform, the backend
// servers and the daemons.
type deployment struct {
	t        *testing.T
	platform string
	daemons  []*daemon
	engines  []*backend
	plains   []*backend
}

func deploy(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, platform: proctest.FreeAddr(t)}
	proctest.Start(t, "platform", program("standin"), "platform", "--listen", d.platform)
	for i := range 4 {
		d.engines = append(d.engines, d.startBackend(llmService, fmt.Sprintf("llm-%c%d", "ab"[i%2], i), "engine"))
	}
	for i := range 2 {
		d.plains = append(d.plains, d.startBackend(postService, fmt.Sprintf("app-%d", i), "plain"))
	}
	for i, domain := range domains {
		d.daemons = append(d.daemons, d.newDaemon(fmt.Sprintf("entry-%d", i), domain))
	}
	d.await("platform", func() bool { return d.get("http://"+d.platform+"/v1/hosts", nil) == nil })
	d.setHosts()
	d.rollBundle()
	for _, m := range d.daemons {
		m.config = d.writeSettings(m)
		d.start(m)
	}
	for _, m := range d.daemons {
		d.awaitReady(m)
	}
	if t.Failed() {
		t.FailNow()
	}
	return d
}

func (d *deployment) startBackend(service, name, kind string) *backend {
	b := &backend{name: name, service: service, addr: proctest.FreeAddr(d.t)}
	proctest.Start(d.t, name, program("standin"), kind, "--listen", b.addr, "--name", name)
	b.relay = startRelay(d.t, b.addr)
	return b
}

func (d *deployment) newDaemon(name, domain string) *daemon {
	m := &daemon{name: name, domain: domain, callers: proctest.FreeAddr(d.t), peers: proctest.FreeAddr(d.t), operators: proctest.FreeAddr(d.t)}
	m.relay = startRelay(d.t, m.peers)
	return m
}

// start starts or restarts a daemon's process at the daemon's addresses.
func (d *deployment) start(m *daemon) {
	m.proc = proctest.Start(d.t, m.name, program("jacinththreadd"), "--settings", m.config)
}

func (d *deployment) awaitReady(m *daemon) {
	d.await(m.name, func() bool {
		return m.proc.Ended() || d.get("http://"+m.operators+"/readyz", nil) == nil
	})
	if m.proc.Ended() {
		d.t.Errorf("%s exited during startup", m.name)
	}
}

// await polls until a condition holds. The test fails after readyTimeout.
func (d *deployment) await(what string, ready func() bool) {
	d.t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ready() {
			return
		}
	}
	d.t.Errorf("%s was not ready within %s", what, readyTimeout)
}

func (d *deployment) writeSettings(m *daemon) string {
	s := settings.Defaults()
	s.Name, s.Region, s.Domain = m.name, region, m.domain
	s.Listen = settings.Listen{Callers: m.callers, Peers: m.peers, Operators: m.operators}
	s.Advertise.Peers = m.relay.addr()
	s.Platform.URL = "http://" + d.platform
	s.Platform.DaemonService = daemonService
	s.Peers.Keys = []string{peerKey}
	for _, o := range d.daemons {
		s.Peers.Seeds = append(s.Peers.Seeds, settings.Seed{Name: o.name, Addr: o.relay.addr()})
	}
	s.Callers.EntryTTLMs = int(entryTTL.Milliseconds())
	s.Routing.SilenceMs = int(silenceTimeout.Milliseconds())
	s.Telemetry.SampleRatio = 0
	content, err := json.Marshal(s)
	assert.NilError(d.t, err)
	path := filepath.Join(d.t.TempDir(), m.name+".jsonc")
	assert.NilError(d.t, os.WriteFile(path, content, 0o600))
	return path
}

// setHosts publishes the current host list to the platform.
func (d *deployment) setHosts() {
	hosts := []store.Host{}
	for _, m := range d.daemons {
		hosts = append(hosts, store.Host{Name: m.name, Addr: m.relay.addr(), Service: daemonService, Region: region, Domain: m.domain, State: store.HostLive})
	}
	for i, b := range d.backends() {
		h := store.Host{Name: b.name, Addr: b.relay.addr(), Service: b.service, Region: region, Domain: domains[i%len(domains)], State: store.HostLive}
		if b.leaving {
			h.State = store.HostLeaving
		}
		hosts = append(hosts, h)
	}
	d.post("http://"+d.platform+"/admin/hosts", hosts)
}

func (d *deployment) backends() []*backend {
	return append(append([]*backend{}, d.engines...), d.plains...)
}

// platformFaults replaces the faults of the platform.
func (d *deployment) platformFaults(f standinplatform.Faults) {
	d.post("http://"+d.platform+"/admin/faults", f)
}

// setResponseTimes sets the response times of the backend servers, so that
// requests are in flight when a fault is injected.
func (d *deployment) setResponseTimes(call, tokenGap time.Duration) {
	callMs, gapMs := int(call.Milliseconds()), int(tokenGap.Milliseconds())
	for _, b := range d.plains {
		d.post("http://"+b.addr+"/admin/faults", plain.Faults{DelayMs: &callMs})
	}
	for _, b := range d.engines {
		d.post("http://"+b.addr+"/admin/faults", engine.Faults{TokenGapMs: &gapMs})
	}
}

func (d *deployment) post(url string, body any) {
	d.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(d.t, err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	assert.NilError(d.t, err)
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	assert.Equal(d.t, resp.StatusCode, http.StatusNoContent, "%s: %s", url, text)
}

// get reads a JSON document into the value that into points to. If into is nil, it
// checks only the status.
func (d *deployment) get(url string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// rollBundle proposes, approves and rolls out the first bundle version.
func (d *deployment) rollBundle() {
	kv, err := httpstore.New("http://"+d.platform, 5*time.Second)
	assert.NilError(d.t, err)
	content, err := json.Marshal(proofBundle())
	assert.NilError(d.t, err)
	ctx, store := d.t.Context(), bundle.NewStore(kv)
	p, err := store.Propose(ctx, bundle.Change{ID: "first", Content: string(content)}, "ana")
	assert.NilError(d.t, err)
	_, err = store.Approve(ctx, "first", p.Digest, "ben")
	assert.NilError(d.t, err)
	_, err = store.Roll(ctx, "first", "ben")
	assert.NilError(d.t, err)
}

// proofBundle returns a bundle whose latency targets are so long that no request
// is refused for missing them.
func proofBundle() *bundle.Bundle {
	const targetMs = 60_000
	class := func(name string, tier int) bundle.Class {
		return bundle.Class{
			Name: name, Tier: tier, FirstTokenMs: targetMs, TokenGapMs: targetMs, Promise: 0.95,
			StarvationMs: targetMs, OnMiss: bundle.OnMissServeLate, RetryBudget: 1,
		}
	}
	return &bundle.Bundle{
		Classes: []bundle.Class{class("counter", 0), class("review", 4)},
		Customers: []bundle.Customer{{
			Name: "utility", TokenDigests: []string{bundle.TokenDigest(callerToken)}, Weight: 1,
			Owner: "utility", Classes: []string{"counter", "review"},
		}},
		Owners: []bundle.Owner{
			{Name: "utility", Servers: []string{"llm-a*", "app-*"}, Share: 0.8},
			{Name: "neighbour", Servers: []string{"llm-b*"}, Share: 0.5},
		},
		Services: []bundle.Service{
			{Name: llmService, Kind: bundle.EngineService, Repeatable: true},
			{Name: postService, Kind: bundle.PlainService, SafeMethods: []string{"GET"}},
		},
		Pools: []bundle.Pool{
			{Name: "llm", Service: llmService, Models: []string{model}, Slots: 4, MaxSlots: 16},
			{Name: "app", Service: postService, Slots: 8, MaxSlots: 8},
		},
		Operators: []bundle.Operator{
			{Name: "ana", TokenDigests: []string{bundle.TokenDigest("ana-token")}},
			{Name: "ben", TokenDigests: []string{bundle.TokenDigest("ben-token")}},
		},
		RetentionHours: 24,
	}
}
