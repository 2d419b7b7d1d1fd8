// Package engine is a fake model engine for tests and the demo. It serves the
// OpenAI-compatible protocol with server-sent events, request priorities and
// resumed streams, and generates a text that depends only on the model and the
// prompt.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
)

// Config sets the engine's name, concurrency and speed.
type Config struct {
	Name string
	// Slots is the number of concurrent requests. Further requests wait in order
	// of priority.
	Slots int
	// FirstToken is the time from the start of a request to its first token.
	FirstToken time.Duration
	// TokenGap is the time between consecutive tokens.
	TokenGap time.Duration
	// Tokens is the length of the output if the request does not set max_tokens.
	Tokens int
}

// Run records one request that the engine began to run.
type Run struct {
	RequestID string `json:"request_id"`
	Priority  int    `json:"priority"`
	// Offset is the index of the first generated token. It is greater than zero
	// for a resumed stream.
	Offset int `json:"offset"`
	// Sent is the number of tokens generated.
	Sent int `json:"sent"`
	// Complete is set after the last token, in a stream after the terminal marker.
	Complete bool      `json:"complete"`
	Started  time.Time `json:"started"`
}

// Engine is a fake model engine. It is safe for concurrent use.
type Engine struct {
	mu       sync.Mutex
	cfg      Config
	draining bool
	// cutAfter is the number of tokens after which the connection is closed. Zero
	// disables the fault.
	cutAfter int
	// hangAfter is the number of tokens after which a response stalls while its
	// connection stays open. Zero disables the fault.
	hangAfter int
	runs      []*Run
	slots     *prioritySlots
}

// New returns an engine.
func New(cfg Config) *Engine {
	return &Engine{cfg: cfg, slots: newPrioritySlots(cfg.Slots)}
}

// Handler returns the handler of the engine's protocol and its admin endpoints.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.serveChat).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.serveText).Methods(http.MethodPost)
	r.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/admin/runs", e.serveRuns).Methods(http.MethodGet)
	r.HandleFunc("/admin/faults", e.serveFaults).Methods(http.MethodPost)
	return r
}

// Runs returns a copy of the runs so far, in order of their start.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, len(e.runs))
	for i, r := range e.runs {
		out[i] = *r
	}
	return out
}

// request holds the fields of a completion request that the engine uses.
type request struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"`
	Resume    *resume         `json:"resume"`
}

type resume struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) }
func (e *Engine) serveText(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) }

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var req request
	if err := json.Unmarshal(body, &req); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	if draining {
		writeError(w, http.StatusServiceUnavailable, "draining", "the engine is leaving")
		return
	}
	if err := e.slots.acquire(r.Context(), req.Priority); err != nil {
		return
	}
	defer e.slots.release()
	g := e.begin(r, &req, chat)
	if req.Stream {
		e.writeStream(r.Context(), w, g)
		return
	}
	e.writeDocument(r.Context(), w, g)
}

// generation is the state of one completion while it is generated.
type generation struct {
	run    *Run
	chat   bool
	model  string
	seed   uint64
	offset int
	total  int
}

func (e *Engine) begin(r *http.Request, req *request, chat bool) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := &generation{chat: chat, model: req.Model, total: e.cfg.Tokens}
	g.seed = xxhash.Sum64(append(append([]byte(req.Model), req.Messages...), req.Prompt...))
	if req.MaxTokens > 0 {
		g.total = req.MaxTokens
	}
	if req.Resume != nil {
		g.offset = req.Resume.Offset
	}
	g.run = &Run{
		RequestID: r.Header.Get("X-Request-Id"),
		Priority:  req.Priority,
		Offset:    g.offset,
		Started:   time.Now(),
	}
	e.runs = append(e.runs, g.run)
	return g
}

// Token returns token i of the text generated from the seed.
func Token(seed uint64, i int) string {
	return fmt.Sprintf("w%d ", xxhash.Sum64String(fmt.Sprint(seed, i))%1000)
}

// Text returns the first n tokens that the model generates for the prompt.
func Text(model, prompt string, n int) string {
	seed := xxhash.Sum64String(model + prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(seed, i))
	}
	return b.String()
}

var errCut = errors.New("stream cut by an injected fault")

// generate calls emit for each token, delayed as configured. It returns errCut or
// blocks until ctx is done if a fault is set.
func (e *Engine) generate(ctx context.Context, g *generation, emit func(i int, token string) error) error {
	for i := g.offset; i < g.total; i++ {
		e.mu.Lock()
		wait, cut, hang := e.cfg.TokenGap, e.cutAfter, e.hangAfter
		if i == g.offset {
			wait = e.cfg.FirstToken
		}
		e.mu.Unlock()
		if cut > 0 && i-g.offset >= cut {
			return errCut
		}
		if hang > 0 && i-g.offset >= hang {
			<-ctx.Done()
			return ctx.Err()
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
		if err := emit(i, Token(g.seed, i)); err != nil {
			return err
		}
		e.mu.Lock()
		g.run.Sent++
		e.mu.Unlock()
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

func (e *Engine) markComplete(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.run.Complete = true
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.slots.load()
	e.mu.Lock()
	draining := e.draining
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"running": running, "waiting": waiting, "draining": draining})
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Runs())
}

// Faults is the body of POST /admin/faults. CutAfter and HangAfter count tokens
// of a response; the times replace those of Config if they are set.
type Faults struct {
	Draining     bool `json:"draining"`
	CutAfter     int  `json:"cut_after"`
	HangAfter    int  `json:"hang_after"`
	FirstTokenMs *int `json:"first_token_ms"`
	TokenGapMs   *int `json:"token_gap_ms"`
}

// SetFaults replaces the faults and, if given, the times per token.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = f.Draining
	e.cutAfter = f.CutAfter
	e.hangAfter = f.HangAfter
	if f.FirstTokenMs != nil {
		e.cfg.FirstToken = time.Duration(*f.FirstTokenMs) * time.Millisecond
	}
	if f.TokenGapMs != nil {
		e.cfg.TokenGap = time.Duration(*f.TokenGapMs) * time.Millisecond
	}
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
