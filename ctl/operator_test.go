package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/ctl/client"
)

const (
	statusBody = `{"current":{"version":7,"change_id":"fees-1","digest":"d7","rolled_by":"aminah"},
		"daemons":[{"name":"entry-1","version":7},{"name":"entry-2","version":6}]}`
	reviewBody = `{"proposal":{"change_id":"fees-2","base":7,"digest":"d8","note":"fee service","proposed_by":"aminah",
		"proposed_at":"2024-05-01T08:00:00Z","content":"a\nb\n"},
		"findings":[{"file":"fees-2","line":3,"column":5,"field":"classes[0].tier","message":"tier 9 does not exist"}],
		"current":{"version":7},"diff":"-a\n+b\n"}`
)

// lines splits the output into lines and collapses runs of spaces.
func lines(out string) []string {
	var got []string
	for line := range strings.Lines(out) {
		got = append(got, strings.Join(strings.Fields(line), " "))
	}
	return got
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "bundle.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// validBundle is a small bundle that has no findings.
var validBundle = fmt.Sprintf(`{
	"classes": [{"name": "counter", "tier": 0, "first_token_ms": 1600, "token_gap_ms": 75, "promise": 0.95,
		"starvation_ms": 30000, "on_miss": "serve_late", "retry_budget": 0.1}],
	"customers": [], "owners": [], "services": [], "pools": [],
	"operators": [
		{"name": "aminah", "token_digests": [%q]},
		{"name": "farid", "token_digests": [%q]},
	],
	"retention_hours": 24,
}`, bundle.TokenDigest("a"), bundle.TokenDigest("b"))

func TestProposeChecksTheFileFirst(t *testing.T) {
	d := newDaemon(t)
	file := writeFile(t, `{"classes": [{"name": "a", "tier": "high"}], "clases": []}`)
	got := d.tool(t, "bundle", "propose", file)
	assert.Equal(t, got.code, ExitUsage)
	assert.Assert(t, strings.Contains(got.err, file+":1:36: classes[0].tier: number expected, string found"), got.err)
	assert.Assert(t, strings.Contains(got.err, "clases: unknown field"), got.err)
}

func TestReview(t *testing.T) {
	d := newDaemon(t)
	d.handle("GET /v1/bundle/proposals/fees-2", 200, reviewBody)
	got := d.tool(t, "bundle", "review", "fees-2")
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.DeepEqual(t, lines(got.out), []string{
		"Change: fees-2", "Base version: 7", "Version in force: 7", "Proposed by: aminah",
		"Proposed at: 2024-05-01T08:00:00Z", "Approved by: -", "Note: fee service", "Digest: d8",
		"Findings: 1", "fees-2:3:5: classes[0].tier: tier 9 does not exist", "", "-a", "+b",
	})
}

func TestApproveSendsTheDigest(t *testing.T) {
	d := newDaemon(t)
	var token string
	var body []byte
	d.mux.HandleFunc("POST /v1/bundle/proposals/fees-2/approve", func(w http.ResponseWriter, r *http.Request) {
		token = r.Header.Get("Authorization")
		body, _ = io.ReadAll(r.Body)
		fmt.Fprint(w, `{"change_id":"fees-2","digest":"d8","approved_by":"farid"}`)
	})
	got := d.tool(t, "bundle", "approve", "--digest", "d8", "fees-2")
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.Equal(t, token, "Bearer secret")
	assert.Equal(t, string(body), `{"digest":"d8"}`)
	assert.DeepEqual(t, lines(got.out), []string{"Change: fees-2", "Approved by: farid", "Digest: d8"})
	assert.Equal(t, d.tool(t, "bundle", "approve", "fees-2").code, ExitUsage, "the digest is required")
}

func TestRollConflictNamesTheOperatorWhoRolled(t *testing.T) {
	d := newDaemon(t)
	d.handle("POST /v1/bundle/proposals/late/roll", 409,
		`{"error":{"code":"conflict","message":"version 8 (change \"fees-3\") was rolled by \"farid\""}}`)
	d.handle("POST /v1/bundle/proposals/fees-2/roll", 200, `{"version":8,"change_id":"fees-2","digest":"d8","rolled_by":"aminah"}`)
	got := d.tool(t, "bundle", "roll", "fees-2")
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.DeepEqual(t, lines(got.out), []string{"Version: 8", "Change: fees-2", "Rolled by: aminah", "Digest: d8"})
	got = d.tool(t, "bundle", "roll", "late")
	assert.Equal(t, got.code, ExitRefused)
	assert.Assert(t, strings.Contains(got.err, `was rolled by "farid"`), got.err)
}

func TestStatusShowsDaemonsThatAreBehind(t *testing.T) {
	d := newDaemon(t)
	d.handle("GET /v1/bundle/status", 200, statusBody)
	got := d.tool(t, "bundle", "status")
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.DeepEqual(t, lines(got.out), []string{
		"Version in force: 7", "Change: fees-1", "Rolled by: aminah", "Digest: d7", "",
		"DAEMON VERSION STATE", "entry-1 7 current", "entry-2 6 behind",
	})
	got = d.tool(t, "--json", "bundle", "status")
	var doc, want any
	assert.NilError(t, json.Unmarshal([]byte(got.out), &doc))
	assert.NilError(t, json.Unmarshal([]byte(statusBody), &want))
	assert.DeepEqual(t, doc, want)
}

func TestDiffOfVersionsAndProposals(t *testing.T) {
	d := newDaemon(t)
	d.handle("GET /v1/bundle/status", 200, statusBody)
	d.handle("GET /v1/bundle/versions/6", 200, `{"version":6,"content":"a\nb\n"}`)
	d.handle("GET /v1/bundle/versions/7", 200, `{"version":7,"content":"a\nc\n"}`)
	d.handle("GET /v1/bundle/proposals/fees-2", 200, reviewBody)
	got := d.tool(t, "bundle", "diff", "6")
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.DeepEqual(t, lines(got.out), []string{"--- 6", "+++ 7", "a", "-b", "+c", ""})
	got = d.tool(t, "bundle", "diff", "6", "fees-2")
	assert.Equal(t, got.out, "no difference\n")
}

func TestResponseThatIsNotJSONFails(t *testing.T) {
	d := newDaemon(t)
	d.handle("GET /v1/members", 200, "<html>")
	got := d.tool(t, "members")
	assert.Equal(t, got.code, ExitFailed)
	assert.Assert(t, strings.Contains(got.err, "is not JSON"), got.err)
}

func TestProposeUsesTheVersionInForceAsBase(t *testing.T) {
	d := newDaemon(t)
	d.handle("GET /v1/bundle/status", 200, statusBody)
	var sent client.Proposal
	d.mux.HandleFunc("POST /v1/bundle/proposals", func(w http.ResponseWriter, r *http.Request) {
		sent = client.Proposal{}
		_ = json.NewDecoder(r.Body).Decode(&sent)
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, `{"change_id":%q,"digest":"d8","findings":[]}`, sent.ChangeID)
	})
	file := writeFile(t, validBundle)
	got := d.tool(t, "bundle", "propose", "--note", "n", file)
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.Equal(t, sent.Base, uint64(7))
	assert.Equal(t, sent.Content, validBundle)
	assert.Equal(t, sent.Note, "n")
	assert.DeepEqual(t, lines(got.out), []string{"Change: " + sent.ChangeID, "Digest: d8"})
	got = d.tool(t, "bundle", "propose", "--base", "3", "--change-id", "fees-2", file)
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.Equal(t, sent.Base, uint64(3))
	assert.Equal(t, sent.ChangeID, "fees-2")
	assert.Equal(t, d.tool(t, "bundle", "propose", "--base", "x", file).code, ExitUsage)
}

func TestProposeWithUnknownOutcomePrintsTheChangeID(t *testing.T) {
	propose := func(handler http.HandlerFunc) outcome {
		d := newDaemon(t)
		d.mux.HandleFunc("POST /v1/bundle/proposals", handler)
		return d.tool(t, "bundle", "propose", "--base", "7", "--change-id", "fees-2", writeFile(t, validBundle))
	}
	got := propose(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	assert.Equal(t, got.code, ExitFailed)
	assert.Assert(t, strings.Contains(got.err, "--change-id fees-2"), got.err)

	got = propose(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"outcome_unknown","message":"unknown"}}`)
	})
	assert.Equal(t, got.code, ExitRefused)
	assert.Assert(t, strings.Contains(got.err, "--change-id fees-2"), got.err)

	got = propose(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) })
	assert.Equal(t, got.code, ExitRefused)
	assert.Assert(t, !strings.Contains(got.err, "--change-id"), got.err)
}
