package ctl

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/operator"
	"github.com/jacinththread/jacinththread/operator/operatorapi"
	"github.com/jacinththread/jacinththread/scheduler"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// deployment is the fixed cluster state that the operator API serves.
type deployment struct {
	membership.View
	store *bundle.Store
}

func (*deployment) Self() membership.Daemon { return membership.Daemon{Name: "entry-1"} }

func (*deployment) Daemons() []membership.Daemon {
	return []membership.Daemon{
		{Name: "entry-1", State: membership.Alive, Region: "utara", Domain: "prai", CallerAddr: "10.0.0.1:80", PeerAddr: "10.0.0.1:81", Load: 4},
		{Name: "entry-2", State: membership.Suspect, Region: "utara", Domain: "butterworth"},
	}
}

func (*deployment) Servers(service string) []membership.Server {
	return []membership.Server{{Name: "llm-1", Addr: "10.0.1.1:90", Service: service, Region: "utara", Domain: "prai", Leaving: true}}
}

func (*deployment) Snapshot() []scheduler.PoolSnapshot {
	return []scheduler.PoolSnapshot{{Pool: "assistant", Tier: 0, Waiting: 2, Running: 8, Slots: 8}}
}

// source reads the version in force from the store on each call.
type source struct {
	bundle.Source
	store *bundle.Store
	t     *testing.T
}

func (s *source) Current() *bundle.Active {
	active, err := s.store.InForce(s.t.Context())
	if err != nil {
		return nil
	}
	return active
}

const flowBundle = `{
	"classes": [{"name": "counter", "tier": 0, "first_token_ms": 1600, "token_gap_ms": 75, "promise": 0.95,
		"starvation_ms": 30000, "on_miss": "serve_late", "retry_budget": 0.1}],
	"customers": [{"name": "desk", "token_digests": ["DESK"], "weight": 1, "owner": "council", "classes": ["counter"]}],
	"owners": [{"name": "council", "servers": ["llm-*"], "share": 0.5}],
	"services": [{"name": "pembantu-llm", "kind": "engine", "repeatable": true, "checks_order": false}],
	"pools": [{"name": "assistant", "service": "pembantu-llm", "models": ["assistant"], "servers": [], "slots": 4, "max_slots": 8}],
	"operators": [
		{"name": "aminah", "token_digests": ["AMINAH"]},
		{"name": "farid", "token_digests": ["FARID"]},
	],
	"retention_hours": 24,
}`

// TestBundleFlow runs the tool against the real operator API: it rolls a first
// and a second version and checks that a change with a stale base is refused.
func TestBundleFlow(t *testing.T) {
	kv := storetest.New()
	d := &deployment{store: bundle.NewStore(kv)}
	server := httptest.NewServer(operator.New(operator.Config{
		Store: kv, Source: &source{store: d.store, t: t}, View: d, Queues: d,
	}))
	defer server.Close()
	as := func(token string, args ...string) outcome {
		return run(t, append([]string{"--operator-url", server.URL, "--token", token}, args...)...)
	}
	ok := func(token string, args ...string) []string {
		t.Helper()
		got := as(token, args...)
		assert.Equal(t, got.code, ExitOK, "%v: %s", args, got.err)
		return lines(got.out)
	}
	content := strings.NewReplacer("DESK", bundle.TokenDigest("desk"), "AMINAH", bundle.TokenDigest("a"),
		"FARID", bundle.TokenDigest("f")).Replace(flowBundle)
	first := writeFile(t, content)
	second := writeFile(t, strings.Replace(content, "1600", "1500", 1))

	digest := proposeChange(t, as, "one", first)
	assert.Equal(t, as("a", "bundle", "approve", "--digest", digest, "one").code, ExitRefused, "own change")
	assert.Equal(t, as("f", "bundle", "roll", "one").code, ExitRefused, "not approved")
	ok("f", "bundle", "approve", "--digest", digest, "one")
	assert.Equal(t, ok("a", "bundle", "roll", "one")[0], "Version: 1")

	digest = proposeChange(t, as, "two", second)
	proposeChange(t, as, "late", second)
	review := ok("f", "bundle", "review", "two")
	assert.Equal(t, review[1], "Base version: 1")
	assert.Assert(t, strings.Contains(strings.Join(review, "\n"), `+ "classes": [{"name": "counter", "tier": 0, "first_token_ms": 1500`))
	assert.Equal(t, as("f", "bundle", "approve", "--digest", strings.Repeat("0", 64), "two").code, ExitRefused)
	ok("f", "bundle", "approve", "--digest", digest, "two")
	ok("f", "bundle", "approve", "--digest", digest, "late")
	assert.Equal(t, ok("f", "bundle", "roll", "two")[0], "Version: 2")
	conflict := as("a", "bundle", "roll", "late")
	assert.Equal(t, conflict.code, ExitRefused)
	assert.Assert(t, strings.Contains(conflict.err, `was rolled by "farid"`), conflict.err)

	status := ok("a", "bundle", "status")
	assert.DeepEqual(t, status[len(status)-2:], []string{"entry-1 2 current", "entry-2 0 behind"})
	history := ok("a", "bundle", "history")
	assert.Equal(t, len(history), 3)
	assert.Assert(t, strings.HasPrefix(history[1], "2 1 two aminah farid farid "), history[1])
	assert.Equal(t, ok("a", "bundle", "diff", "1")[1], "+++ 2")
	assert.DeepEqual(t, ok("a", "bundle", "diff", "2", "late"), []string{"no difference"})
	assert.Equal(t, as("stranger", "members").code, ExitRefused)

	assert.DeepEqual(t, ok("a", "members"), []string{
		"NAME STATE REGION DOMAIN CALLERS PEERS BUNDLE REQUESTS",
		"entry-1 alive utara prai 10.0.0.1:80 10.0.0.1:81 2 4",
		"entry-2 suspect utara butterworth - - 0 0",
	})
	assert.DeepEqual(t, ok("a", "servers"), []string{
		"NAME ADDRESS SERVICE REGION DOMAIN OWNER STATE",
		"llm-1 10.0.1.1:90 pembantu-llm utara prai council leaving",
	})
	assert.DeepEqual(t, ok("a", "queues"), []string{
		"POOL TIER WAITING RUNNING SLOTS OF THE POOL", "assistant 0 2 8 8",
	})
}

// proposeChange proposes a file as operator aminah and returns its digest.
func proposeChange(t *testing.T, as func(string, ...string) outcome, id, file string) string {
	t.Helper()
	got := as("a", "--json", "bundle", "propose", "--change-id", id, "--note", "n", file)
	assert.Equal(t, got.code, ExitOK, got.err)
	var p operatorapi.Proposed
	assert.NilError(t, json.Unmarshal([]byte(got.out), &p))
	assert.Equal(t, p.ChangeID, id)
	return p.Digest
}
