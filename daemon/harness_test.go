package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/ctl/client"
	"github.com/jacinththread/jacinththread/internal/logtest"
	"github.com/jacinththread/jacinththread/internal/proctest"
	"github.com/jacinththread/jacinththread/internal/standin/engine"
	"github.com/jacinththread/jacinththread/internal/standin/plain"
	standinplatform "github.com/jacinththread/jacinththread/internal/standin/platform"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/settings"
	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/httpstore"
)

const (
	// pollTimeout is how long a test waits for a state before it fails. It only
	// needs to be long enough for a slow machine.
	pollTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond

	testKey       = "00112233445566778899aabbccddeeff"
	customerToken = "demo-token-north"
	region        = "utara"
	entryTTL      = 500 * time.Millisecond
	maxHeader     = 4096
)

// bundleText is a bundle with one customer, whose token is customerToken.
const bundleText = `{
  "classes": [
    {"name": "counter", "tier": 0, "first_token_ms": 20000, "token_gap_ms": 5000, "promise": 0.95, "starvation_ms": 60000, "on_miss": "serve_late", "retry_budget": 0.1},
  ],
  "customers": [
    {"name": "north-desk", "token_digests": ["0311ffd6b11d68eb4f6d21c1d23bd5265aafd5c7618d8a12e11337f1b1e4297a"], "weight": 1, "owner": "north", "classes": ["counter"]},
  ],
  "owners": [{"name": "north", "servers": ["engine-1", "engine-2", "ledger-1"], "share": 1}],
  "services": [
    {"name": "llm", "kind": "engine", "repeatable": true, "safe_methods": [], "checks_order": false},
    {"name": "ledger", "kind": "plain", "repeatable": false, "safe_methods": ["GET"], "checks_order": false},
  ],
  "pools": [
    {"name": "llm", "service": "llm", "models": ["demo-model"], "servers": [], "slots": 4, "max_slots": 8},
    {"name": "ledger", "service": "ledger", "models": [], "servers": [], "slots": 4, "max_slots": 8},
  ],
  "operators": [
    {"name": "alia", "token_digests": ["a2f5000de73b28cbfbc30aad68a762fbb3ee05be4f5091eecff91dfecd575c16"]},
    {"name": "bakar", "token_digests": ["29a50c96562910fc95213d3378c2992a7fd964ebf699622c5e41ab1b154b4a19"]},
  ],
  "retention_hours": 24,
}`

// deployment runs a platform, backend servers and daemons in the test process.
type deployment struct {
	t           *testing.T
	platform    *standinplatform.Standin
	platformURL string
	engines     []*engine.Engine
	ledger      *plain.Server
	hosts       []store.Host
	http        *http.Client
	kv          *httpstore.Client
	daemons     []*testDaemon
	logs        *logtest.Buffer
	spans       *tracetest.InMemoryExporter
}

// testDaemon is one running daemon.
type testDaemon struct {
	settings *settings.Settings
	kernel   *kernel.Kernel
	stopped  bool
}

// newDeployment starts the platform and the backend servers.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{
		t:        t,
		platform: standinplatform.New(),
		ledger:   plain.New(plain.Config{Name: "ledger-1"}),
		http:     &http.Client{Transport: &http.Transport{}},
		logs:     &logtest.Buffer{},
		spans:    tracetest.NewInMemoryExporter(),
	}
	t.Cleanup(d.http.CloseIdleConnections)
	d.platformURL = "http://" + d.serve(d.platform.Handler())
	for _, name := range []string{"engine-1", "engine-2"} {
		e := engine.New(engine.Config{Name: name, Slots: 4, Tokens: 5})
		d.engines = append(d.engines, e)
		d.addHost(name, d.serve(e.Handler()), "llm")
	}
	d.addHost("ledger-1", d.serve(d.ledger.Handler()), "ledger")
	return d
}

func (d *deployment) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	d.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (d *deployment) addHost(name, addr, service string) {
	d.hosts = append(d.hosts, store.Host{
		Name: name, Addr: addr, Service: service, Region: region, Domain: "prai", State: store.HostLive,
	})
	d.platform.SetHosts(d.hosts)
}

// newSettings returns the settings of a new daemon and adds it to the host list.
func (d *deployment) newSettings(name string) *settings.Settings {
	s := settings.Defaults()
	s.Name, s.Region, s.Domain = name, region, "prai"
	ports := []string{proctest.FreeAddr(d.t), proctest.FreeAddr(d.t), proctest.FreeAddr(d.t)}
	s.Listen = settings.Listen{Callers: ports[0], Peers: ports[1], Operators: ports[2]}
	s.Platform.URL = d.platformURL
	s.Peers.Keys = []string{testKey}
	s.Callers.EntryTTLMs = int(entryTTL.Milliseconds())
	s.Callers.MaxHeaderBytes = maxHeader
	for _, other := range d.daemons {
		seed := settings.Seed{Name: other.settings.Name, Addr: other.settings.Listen.Peers}
		s.Peers.Seeds = append(s.Peers.Seeds, seed)
	}
	d.addHost(name, s.Listen.Peers, s.Platform.DaemonService)
	return s
}

// start adds n daemons to the deployment.
func (d *deployment) start(n int) {
	d.t.Helper()
	for range n {
		d.startDaemon(d.newSettings(fmt.Sprintf("entry-%d", len(d.daemons)+1)))
	}
}

func (d *deployment) startDaemon(s *settings.Settings) *testDaemon {
	d.t.Helper()
	logger := log.NewWithOptions(d.logs, log.Options{
		Level: log.DebugLevel, Formatter: log.LogfmtFormatter, Fields: []any{"host", s.Name},
	})
	tracing := sdktrace.NewTracerProvider(sdktrace.WithSyncer(d.spans))
	k, err := kernel.New(logger, Modules(s, logger, tracing.Tracer("test"))...)
	assert.NilError(d.t, err)
	assert.NilError(d.t, k.Start(d.t.Context()))
	daemon := &testDaemon{settings: s, kernel: k}
	d.daemons = append(d.daemons, daemon)
	d.t.Cleanup(func() {
		if daemon.stopped {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // Aborts requests in flight instead of waiting for them.
		// The error only reports the aborted requests.
		_ = k.Stop(ctx)
	})
	return daemon
}

// rollFirstBundle rolls out the first bundle and waits until every daemon is
// ready.
func (d *deployment) rollFirstBundle() {
	d.t.Helper()
	var err error
	d.kv, err = httpstore.New(d.platformURL, time.Second)
	assert.NilError(d.t, err)
	d.t.Cleanup(d.kv.Close)
	store := bundle.NewStore(d.kv)
	ctx := d.t.Context()
	p, err := store.Propose(ctx, bundle.Change{ID: "first", Content: bundleText}, "alia")
	assert.NilError(d.t, err)
	_, err = store.Approve(ctx, p.ChangeID, p.Digest, "bakar")
	assert.NilError(d.t, err)
	_, err = store.Roll(ctx, p.ChangeID, "alia")
	assert.NilError(d.t, err)
	d.waitReady()
}

// waitReady waits until every daemon is ready and knows all other daemons.
func (d *deployment) waitReady() {
	d.t.Helper()
	for _, daemon := range d.daemons {
		d.wait(daemon.settings.Name+" is ready", func() bool { return daemon.ready(d) })
		d.wait(daemon.settings.Name+" knows all daemons", func() bool {
			return len(daemon.gauges(d, "membership.daemons.alive")) == 1 &&
				daemon.gauges(d, "membership.daemons.alive")[0] == int64(len(d.daemons))
		})
	}
}

// wait polls until reached returns true, and fails the test after pollTimeout.
func (d *deployment) wait(what string, reached func() bool) {
	d.t.Helper()
	end := time.Now().Add(pollTimeout)
	for !reached() {
		if time.Now().After(end) {
			d.t.Fatalf("%s: not reached; log:\n%s", what, d.logs.String())
		}
		time.Sleep(pollInterval)
	}
}

func (td *testDaemon) ready(d *deployment) bool {
	res, err := d.http.Get("http://" + td.settings.Listen.Operators + "/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// metrics fetches the metrics from the daemon's HTTP server for operators.
func (td *testDaemon) metrics(d *deployment) map[string]map[string]any {
	d.t.Helper()
	res, err := d.http.Get("http://" + td.settings.Listen.Operators + "/metrics")
	assert.NilError(d.t, err)
	defer res.Body.Close()
	var all map[string]map[string]any
	assert.NilError(d.t, json.NewDecoder(res.Body).Decode(&all))
	return all
}

// gauges returns the values of the named gauges, without those that do not
// exist.
func (td *testDaemon) gauges(d *deployment, names ...string) []int64 {
	d.t.Helper()
	all := td.metrics(d)
	var out []int64
	for _, name := range names {
		if v, ok := all[name]["value"].(float64); ok {
			out = append(out, int64(v))
		}
	}
	return out
}

// entries returns the sorted names of the entry daemons that a daemon returns
// to callers.
func (td *testDaemon) entries(d *deployment) []string {
	d.t.Helper()
	dir := client.NewDirectory(d.http, []string{"http://" + td.settings.Listen.Callers}, false)
	response, err := dir.FetchEntries(d.t.Context())
	assert.NilError(d.t, err)
	var names []string
	for _, e := range response.Entries {
		names = append(names, e.Name)
	}
	slices.Sort(names)
	return names
}

// post sends a caller's request to one daemon.
func (td *testDaemon) post(d *deployment, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, "http://"+td.settings.Listen.Callers+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+customerToken)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return d.http.Do(req)
}

const chatPath = "/v1/chat/completions"

func chatBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model": "demo-model", "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`, tokens, prompt)
}

// chat streams one response, checks its end marker and returns its text.
func (td *testDaemon) chat(d *deployment, prompt string, tokens int) string {
	d.t.Helper()
	res, err := td.post(d, chatPath, chatBody(prompt, tokens))
	assert.NilError(d.t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(d.t, err)
	assert.Equal(d.t, res.StatusCode, http.StatusOK, string(body))
	return completeText(d.t, string(body))
}

// completeText returns the text of a stream, which must have its end marker.
func completeText(t *testing.T, stream string) string {
	t.Helper()
	var text strings.Builder
	done := false
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	assert.Assert(t, done, "stream has no end marker: %s", stream)
	return text.String()
}

// wantText returns the text with which the stand-in engine responds to a chat of
// one message.
func wantText(prompt string, tokens int) string {
	messages := fmt.Sprintf(`[{"role":"user","content":%q}]`, prompt)
	return engine.Text("demo-model", messages, tokens)
}
