package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/operator/operatorapi"
	"github.com/jacinththread/jacinththread/scheduler"
	"github.com/jacinththread/jacinththread/store/storetest"
)

const (
	tokenA = "demo-operator-a"
	tokenB = "demo-operator-b"
)

// fakeSource is a bundle.Source with a fixed version in force.
type fakeSource struct{ active *bundle.Active }

func (s *fakeSource) Current() *bundle.Active  { return s.active }
func (*fakeSource) Changed() <-chan struct{}   { return nil }
func (*fakeView) Changed() <-chan struct{}     { return nil }
func (*fakeView) Schedulers() []string         { return nil }
func (*fakeView) ReportLeaving(string)         {}
func (*fakeView) Self() membership.Daemon      { return membership.Daemon{Name: "entry-a"} }
func (*fakeView) Daemons() []membership.Daemon { return daemons }
func (*fakeView) Server(string) (membership.Server, bool) {
	return membership.Server{}, false
}

func (*fakeView) Servers(service string) []membership.Server {
	if service != "llm" {
		return nil
	}
	return []membership.Server{{Name: "engine-1", Service: "llm", Leaving: true}, {Name: "stranger", Service: "llm"}}
}

type fakeView struct{}

var daemons = []membership.Daemon{
	{Name: "entry-a", State: membership.Alive, BundleVersion: 0},
	{Name: "entry-b", State: membership.Suspect, BundleVersion: 1, Load: 3},
}

type fakeQueues struct{}

func (*fakeQueues) Snapshot() []scheduler.PoolSnapshot {
	return []scheduler.PoolSnapshot{{Pool: "llm", Tier: 5, Waiting: 2}}
}

// harness is the operator API with an in-memory store.
type harness struct {
	t       *testing.T
	plat    *storetest.Platform
	source  *fakeSource
	handler http.Handler
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, plat: storetest.New(), source: &fakeSource{}}
	h.handler = New(Config{Store: h.plat, Source: h.source, View: &fakeView{}, Queues: &fakeQueues{}})
	return h
}

// callResult is the decoded response of any call; its fields are the union of
// all responses.
type callResult struct {
	Error    errorDetail                 `json:"error"`
	Digest   string                      `json:"digest"`
	Version  uint64                      `json:"version"`
	Approved string                      `json:"approved_by"`
	RolledBy string                      `json:"rolled_by"`
	Content  string                      `json:"content"`
	Diff     string                      `json:"diff"`
	Current  bundle.Pointer              `json:"current"`
	Daemons  []operatorapi.DaemonVersion `json:"daemons"`
	Versions []bundle.Record             `json:"versions"`
	Members  []operatorapi.Member        `json:"members"`
	Servers  []operatorapi.Server        `json:"servers"`
	Queues   []json.RawMessage           `json:"queues"`
	Proposal *bundle.Proposal            `json:"proposal"`
}

// call sends a request, checks the status and returns the decoded response.
func (h *harness) call(status int, token, method, path string, body any) callResult {
	h.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(h.t, err)
	r := httptest.NewRequest(method, path, bytes.NewReader(data))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	assert.Equal(h.t, w.Code, status, w.Body.String())
	var result callResult
	assert.NilError(h.t, json.Unmarshal(w.Body.Bytes(), &result))
	return result
}

func (h *harness) get(token, path string) callResult {
	h.t.Helper()
	return h.call(http.StatusOK, token, http.MethodGet, path, nil)
}

// demoBundle returns the bundle of the demo with a comment, so that different
// notes give different contents.
func demoBundle(t *testing.T, note string) string {
	t.Helper()
	data, err := os.ReadFile("../examples/demo/bundle.jsonc")
	assert.NilError(t, err)
	return "// " + note + "\n" + string(data)
}

// rollFirst proposes, approves and rolls the first version, and puts it in force
// on the daemon.
func (h *harness) rollFirst() {
	h.t.Helper()
	p := h.call(http.StatusCreated, tokenA, http.MethodPost, "/v1/bundle/proposals",
		proposeRequest{ChangeID: "first", Content: demoBundle(h.t, "one")})
	h.call(http.StatusOK, tokenB, http.MethodPost, "/v1/bundle/proposals/first/approve", approveRequest{Digest: p.Digest})
	rolled := h.call(http.StatusOK, tokenB, http.MethodPost, "/v1/bundle/proposals/first/roll", nil)
	assert.Equal(h.t, rolled.Version, uint64(1))
	assert.Equal(h.t, rolled.RolledBy, "bakar")
	active, err := bundle.NewStore(h.plat).InForce(h.t.Context())
	assert.NilError(h.t, err)
	h.source.active = active
}

func TestFirstRollAcceptsOperatorsOfTheProposal(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.get("", "/v1/bundle/status").Current.Version, uint64(0))
	body := proposeRequest{ChangeID: "first", Content: demoBundle(t, "one")}
	h.call(http.StatusUnauthorized, "", http.MethodPost, "/v1/bundle/proposals", body)
	h.call(http.StatusUnauthorized, "stranger", http.MethodPost, "/v1/bundle/proposals", body)
	h.rollFirst()
	status := h.get(tokenA, "/v1/bundle/status")
	assert.Equal(t, status.Current.ChangeID, "first")
	assert.DeepEqual(t, status.Daemons, []operatorapi.DaemonVersion{{Name: "entry-a", Version: 1}, {Name: "entry-b", Version: 1}})
	h.call(http.StatusUnauthorized, "", http.MethodGet, "/v1/bundle/status", nil)
}

// Once a version exists, the operators that a proposal defines must not be
// accepted, even on a daemon that has no version in force. Otherwise anybody
// could propose themselves as an operator.
func TestProposalDoesNotMakeItsOwnOperators(t *testing.T) {
	h := newHarness(t)
	h.rollFirst()
	h.source.active = nil
	own := strings.ReplaceAll(demoBundle(t, "x"), bundle.TokenDigest(tokenA), bundle.TokenDigest("intruder"))
	h.call(http.StatusUnauthorized, "intruder", http.MethodPost, "/v1/bundle/proposals",
		proposeRequest{ChangeID: "own", Base: 1, Content: own})
}

// A daemon with an older version in force must refuse a write by an operator whom
// the current version in the store has removed.
func TestRemovedOperatorIsRefusedByTheStore(t *testing.T) {
	h := newHarness(t)
	h.rollFirst()
	h.roll(2, strings.ReplaceAll(demoBundle(t, "two"), bundle.TokenDigest(tokenA), bundle.TokenDigest("new")))
	assert.Equal(t, h.source.active.Version, uint64(1))
	h.call(http.StatusUnauthorized, tokenA, http.MethodPost, "/v1/bundle/proposals",
		proposeRequest{ChangeID: "late", Base: 2, Content: demoBundle(t, "three")})
}

// roll proposes, approves and rolls content as the given version.
func (h *harness) roll(version uint64, content string) {
	h.t.Helper()
	path := "/v1/bundle/proposals"
	p := h.call(http.StatusCreated, tokenA, http.MethodPost, path,
		proposeRequest{ChangeID: "change", Base: version - 1, Content: content})
	h.call(http.StatusOK, tokenB, http.MethodPost, path+"/change/approve", approveRequest{Digest: p.Digest})
	assert.Equal(h.t, h.call(http.StatusOK, tokenB, http.MethodPost, path+"/change/roll", nil).Version, version)
}

func TestReviewAndHistory(t *testing.T) {
	h := newHarness(t)
	h.rollFirst()
	h.roll(2, demoBundle(t, "two"))
	review := h.get(tokenB, "/v1/bundle/proposals/change")
	assert.Assert(t, strings.Contains(review.Diff, "-// one\n+// two\n"), review.Diff)
	assert.Equal(t, review.Proposal.ApprovedBy, "bakar")
	history := h.get(tokenA, "/v1/bundle/history").Versions
	assert.Equal(t, len(history), 2)
	assert.Equal(t, history[0].ChangeID, "change")
	assert.Equal(t, history[0].Content, "")
	assert.Equal(t, h.get(tokenA, "/v1/bundle/versions/1").Content, demoBundle(t, "one"))
}

func TestRefusals(t *testing.T) {
	h := newHarness(t)
	h.rollFirst()
	const path = "/v1/bundle/proposals"
	for _, c := range []struct {
		status             int
		code, method, path string
		body               any
	}{
		{422, "findings", "POST", path, proposeRequest{ChangeID: "bad", Base: 1, Content: "{}"}},
		{400, "bad_change_id", "POST", path, proposeRequest{ChangeID: "a b", Base: 1, Content: demoBundle(t, "x")}},
		{400, "bad_request", "POST", path, "text"},
		{400, "bad_request", "POST", path, map[string]int{"bose": 1}},
		{409, "change_id_taken", "POST", path, proposeRequest{ChangeID: "first", Base: 1, Content: demoBundle(t, "x")}},
		{409, "stale_base", "POST", path, proposeRequest{ChangeID: "new", Content: demoBundle(t, "x")}},
		{404, "change_not_found", "POST", path + "/none/roll", nil},
		{404, "version_not_found", "GET", "/v1/bundle/versions/9", nil},
		{404, "not_found", "GET", "/v1/bundle/nothing", nil},
		{409, "digest_mismatch", "POST", path + "/first/approve", approveRequest{Digest: "0"}},
	} {
		got := h.call(c.status, tokenA, c.method, c.path, c.body)
		assert.Equal(t, got.Error.Code, c.code)
		assert.Assert(t, got.Error.Message != "")
	}
	p := h.call(201, tokenA, "POST", path, proposeRequest{ChangeID: "own", Base: 1, Content: demoBundle(t, "x")})
	assert.Equal(t, h.call(409, tokenA, "POST", path+"/own/roll", nil).Error.Code, "not_approved")
	assert.Equal(t, h.call(403, tokenA, "POST", path+"/own/approve", approveRequest{Digest: p.Digest}).Error.Code, "own_change")
	findings := h.call(422, tokenA, "POST", path, proposeRequest{ChangeID: "bad", Base: 1, Content: "{}"}).Error.Findings
	assert.Assert(t, len(findings) > 2 && findings[0].Line == 1)
}

func TestRollConflictNamesTheWinner(t *testing.T) {
	h := newHarness(t)
	h.rollFirst()
	const path = "/v1/bundle/proposals"
	p := h.call(201, tokenA, "POST", path, proposeRequest{ChangeID: "slow", Base: 1, Content: demoBundle(t, "slow")})
	h.call(200, tokenB, "POST", path+"/slow/approve", approveRequest{Digest: p.Digest})
	h.roll(2, demoBundle(t, "fast"))
	conflict := h.call(409, tokenA, "POST", path+"/slow/roll", nil)
	assert.Equal(t, conflict.Error.Code, "stale_base")
	assert.Equal(t, conflict.Error.Winner.RolledBy, "bakar")
	assert.Equal(t, conflict.Error.Winner.Version, uint64(2))
}

func TestOutage(t *testing.T) {
	h := newHarness(t)
	h.rollFirst()
	h.plat.SetDown(true)
	assert.Equal(t, h.call(503, tokenA, "POST", "/v1/bundle/proposals/first/roll", nil).Error.Code, "store_unavailable")
	assert.Equal(t, h.get(tokenA, "/v1/bundle/status").Current.Version, uint64(1))
	assert.Equal(t, len(h.get(tokenA, "/v1/members").Members), 2)
}

func TestLists(t *testing.T) {
	h := newHarness(t)
	h.rollFirst()
	members := h.get(tokenA, "/v1/members").Members
	assert.Equal(t, members[0].BundleVersion, uint64(1))
	assert.Equal(t, members[1].State, "suspect")
	servers := h.get(tokenA, "/v1/servers").Servers
	assert.Equal(t, len(servers), 2)
	assert.Equal(t, servers[0].Owner, "north")
	assert.Assert(t, servers[0].Leaving)
	assert.Equal(t, servers[1].Owner, "")
	assert.Equal(t, len(h.get(tokenA, "/v1/queues").Queues), 1)
	for _, list := range []string{"members", "servers", "queues", "bundle/history"} {
		h.call(http.StatusUnauthorized, "demo-token-north", http.MethodGet, "/v1/"+list, nil)
	}
}
