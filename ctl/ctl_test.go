package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/ctl/load"
)

// daemon is a fake daemon that serves both the caller and the operator API.
type daemon struct {
	*httptest.Server
	mux *http.ServeMux
}

func newDaemon(t *testing.T) *daemon {
	t.Helper()
	mux := http.NewServeMux()
	d := &daemon{Server: httptest.NewServer(mux), mux: mux}
	t.Cleanup(d.Close)
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"entries":[{"name":"entry-1","addr":%q,"domain":"prai"}],"ttl_ms":5000}`,
			strings.TrimPrefix(d.URL, "http://"))
	})
	return d
}

// handle registers a fixed response for a pattern.
func (d *daemon) handle(pattern string, status int, body string) {
	d.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Jacinththread-Request-Id", "r1")
		w.Header().Set("Jacinththread-Run", "ran")
		w.Header().Set("Jacinththread-Bundle", "4")
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	})
}

type outcome struct {
	code     int
	out, err string
}

// tool runs the tool against the daemon, with a token in the environment.
func (d *daemon) tool(t *testing.T, args ...string) outcome {
	t.Helper()
	t.Setenv("JACINTHTHREAD_TOKEN", "secret")
	return run(t, append([]string{"--url", d.URL, "--operator-url", d.URL}, args...)...)
}

func run(t *testing.T, args ...string) outcome {
	t.Helper()
	var out, errs bytes.Buffer
	code := Run(t.Context(), args, Streams{In: strings.NewReader("from stdin"), Out: &out, Err: &errs})
	return outcome{code, out.String(), errs.String()}
}

const streamed = "data: {\"choices\":[{\"delta\":{\"content\":\"Twelve \"}}]}\n\n" +
	"data: {\"choices\":[{\"delta\":{\"content\":\"ringgit.\"}}]}\n\n"

func TestEntries(t *testing.T) {
	d := newDaemon(t)
	got := d.tool(t, "entries")
	assert.Equal(t, got.code, ExitOK, got.err)
	addr := strings.TrimPrefix(d.URL, "http://")
	gap := strings.Repeat(" ", len(addr)-len("ADDRESS")+2)
	assert.Equal(t, got.out, "NAME     ADDRESS"+gap+"DOMAIN\nentry-1  "+addr+"  prai\n\nThis list may be cached for 5000 ms.\n")
	got = d.tool(t, "--json", "entries")
	assert.Assert(t, json.Valid([]byte(got.out)))
	assert.Assert(t, strings.Contains(got.out, `"ttl_ms": 5000`), got.out)
}

func TestSendPrintsTheResponse(t *testing.T) {
	d := newDaemon(t)
	d.handle("POST /v1/chat/completions", 200, streamed+"data: [DONE]\n\n")
	got := d.tool(t, "send", "--model", "m", "What is the fee?")
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.Equal(t, got.out, "Twelve ringgit.\n")
	assert.Assert(t, strings.Contains(got.err, "request r1 at"), got.err)
	got = d.tool(t, "--json", "send", "--model", "m", "What is the fee?")
	var result sendResult
	assert.NilError(t, json.Unmarshal([]byte(got.out), &result))
	assert.Equal(t, result.Text, "Twelve ringgit.")
	assert.Equal(t, result.Pieces, 2)
	assert.Equal(t, result.Bundle, "4")
	assert.Equal(t, result.Run, "ran")
}

func TestSendCallsAService(t *testing.T) {
	d := newDaemon(t)
	d.mux.HandleFunc("POST /services/desk/fees", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s with key %s", body, r.Header.Get("Idempotency-Key"))
	})
	got := d.tool(t, "send", "--service", "desk", "--path", "/fees", "--idempotency-key", "k1", "--body", "@-")
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.Equal(t, got.out, "from stdin with key k1\n")
}

func TestExitCodes(t *testing.T) {
	d := newDaemon(t)
	d.handle("POST /v1/chat/completions", 200, streamed)
	d.handle("/services/desk/full", 429,
		`{"error":{"code":"overload","message":"queue is full","run":"not-run","retry_after_ms":200}}`)
	for _, c := range []struct {
		name string
		args []string
		code int
		err  string
	}{
		{"incomplete stream", []string{"send", "--model", "m", "p"}, ExitFailed, "before it was complete"},
		{"refused", []string{"send", "--service", "desk", "--path", "full"}, ExitRefused, "overload: queue is full (run: not-run, retry after 200 ms)"},
		{"no command", nil, ExitUsage, "specify one command"},
		{"unknown option", []string{"entries", "--nope"}, ExitUsage, "nope"},
		{"extra argument", []string{"entries", "x"}, ExitUsage, `unexpected argument "x"`},
		{"no target", []string{"send", "p"}, ExitUsage, "one of --model and --service"},
		{"no prompt", []string{"send", "--model", "m"}, ExitUsage, "prompt"},
		{"no token", []string{"--token-env", "UNSET_TOKEN_NAME", "send", "--model", "m", "p"}, ExitUsage, "UNSET_TOKEN_NAME"},
		{"missing body", []string{"send", "--service", "desk", "--body", "@none"}, ExitUsage, "none"},
		{"missing workload", []string{"load", "none.jsonc"}, ExitUsage, "none.jsonc"},
		{"other shell", []string{"completion", "fish"}, ExitUsage, "fish"},
	} {
		got := d.tool(t, c.args...)
		assert.Equal(t, got.code, c.code, "%s: %s", c.name, got.err)
		assert.Assert(t, strings.Contains(got.err, c.err), "%s: %s", c.name, got.err)
		assert.Assert(t, !strings.Contains(got.err, "secret"), "the token is shown")
	}
}

func TestUnreachableDaemonHasItsOwnExitCode(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for _, args := range [][]string{{"entries"}, {"--token", "t", "send", "--model", "m", "p"}} {
		got := run(t, append([]string{"--url", closed.URL}, args...)...)
		assert.Equal(t, got.code, ExitUnreachable, got.err)
	}
}

func TestHelpShowsExamples(t *testing.T) {
	got := run(t, "send", "--help")
	assert.Equal(t, got.code, ExitOK)
	assert.Assert(t, strings.Contains(got.out, "Usage:"))
	assert.Assert(t, strings.Contains(got.out, "\n  jacinththreadctl send --model assistant --class counter \"What"), got.out)
	assert.Equal(t, run(t, "--help").code, ExitOK)
}

func TestCompletionScriptIsForBash(t *testing.T) {
	got := run(t, "completion", "bash")
	assert.Equal(t, got.code, ExitOK)
	assert.Assert(t, strings.Contains(got.out, "complete -o default -F _jacinththreadctl jacinththreadctl"))
}

const smallLoad = `{"duration_ms": 50, "model": "m", "streams": [{
	"class": "counter", "rate": 200, "first_token_ms": 60000,
	"prompt_tokens": {"median": 2, "max": 2}, "output_tokens": {"median": 2, "max": 2}}]}`

func TestLoadReports(t *testing.T) {
	d := newDaemon(t)
	d.handle("POST /v1/chat/completions", 200, streamed+"data: [DONE]\n\n")
	file := filepath.Join(t.TempDir(), "w.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(smallLoad), 0o600))
	got := d.tool(t, "--json", "load", "--quiet", file)
	assert.Equal(t, got.code, ExitOK, got.err)
	var r load.Report
	assert.NilError(t, json.Unmarshal([]byte(got.out), &r))
	assert.Assert(t, r.Total.Offered > 0)
	assert.Equal(t, r.Total.Attained, r.Total.Offered)
	assert.Equal(t, r.Total.Tokens, 2*r.Total.Offered)
	got = d.tool(t, "load", file)
	assert.Equal(t, got.code, ExitOK, got.err)
	assert.Assert(t, strings.Contains(got.out, "ATTAINMENT"), got.out)
}

// TestExampleWorkloadsFitTheirBundles checks that each stream of an example
// workload uses a model and a class that the deployment's bundle defines, and
// that its targets are those of the class.
func TestExampleWorkloadsFitTheirBundles(t *testing.T) {
	for _, deployment := range []string{"utility", "halvorsen"} {
		dir := "../examples/" + deployment
		w, err := load.ReadWorkload(dir + "/workload.jsonc")
		assert.NilError(t, err)
		data, err := os.ReadFile(dir + "/bundle.jsonc")
		assert.NilError(t, err)
		b, findings := bundle.Parse("bundle", data)
		assert.NilError(t, findings.Err())
		active := bundle.NewActive(1, b)
		for _, s := range w.Streams {
			class := active.Class(s.Class)
			assert.Assert(t, class != nil, s.Class)
			assert.Equal(t, s.FirstTokenMs, class.FirstTokenMs, s.Class)
			assert.Equal(t, s.TokenGapMs, class.TokenGapMs, s.Class)
			assert.Assert(t, active.PoolOfModel(w.ModelOf(s)) != nil, w.ModelOf(s))
		}
	}
}

func TestTablesShowNoControlCharacters(t *testing.T) {
	assert.Equal(t, formatCell("a\x1b[31m\tb\n"), "a [31m b ")
	assert.Equal(t, formatCell(""), "-")
}
