// Package plain is a stand-in for a plain service beside the model engines. It
// records every call it runs.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Run is one call as the service ran it.
type Run struct {
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Key       string    `json:"key"`
	RequestID string    `json:"request_id"`
	Body      string    `json:"body"`
	Started   time.Time `json:"started"`
}

// Config tunes the service.
type Config struct {
	Name string
	// Delay is how long a call takes.
	Delay time.Duration
	// ChecksOrder makes the service refuse a key it has seen.
	ChecksOrder bool
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	mu     sync.Mutex
	cfg    Config
	faults Faults
	runs   []Run
	keys   map[string]bool
}

// Faults changes how the service behaves from now on.
type Faults struct {
	Draining bool `json:"draining"`
	// LoseReplies closes the connection after the call ran.
	LoseReplies bool `json:"lose_replies"`
	DelayMs     *int `json:"delay_ms"`
}

// New returns a service.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, keys: map[string]bool{}}
}

// Handler serves calls on every path but the admin endpoints.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/runs", s.serveRuns).Methods(http.MethodGet)
	r.HandleFunc("/admin/faults", s.serveFaults).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(s.serve)
	return r
}

// Runs returns a copy of the calls run so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// SetFaults applies faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.DelayMs != nil {
		s.cfg.Delay = time.Duration(*f.DelayMs) * time.Millisecond
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n, status := s.record(r, string(body))
	if status != http.StatusOK {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		fmt.Fprintf(w, "{\"error\":{\"code\":%q}}\n", refusalCode(status))
		return
	}
	s.mu.Lock()
	delay, lose := s.cfg.Delay, s.faults.LoseReplies
	s.mu.Unlock()
	time.Sleep(delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"server\":%q,\"run\":%d,\"path\":%q}\n", s.cfg.Name, n, r.URL.Path)
}

func refusalCode(status int) string {
	if status == http.StatusConflict {
		return "key_seen"
	}
	return "draining"
}

// record notes a run and returns its number, or the status of a refusal.
func (s *Server) record(r *http.Request, body string) (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Draining {
		return 0, http.StatusServiceUnavailable
	}
	key := r.Header.Get("Idempotency-Key")
	if s.cfg.ChecksOrder && key != "" && s.keys[key] {
		return 0, http.StatusConflict
	}
	s.keys[key] = true
	s.runs = append(s.runs, Run{
		Method:    r.Method,
		Path:      r.URL.Path,
		Key:       key,
		RequestID: r.Header.Get("X-Request-Id"),
		Body:      body,
		Started:   time.Now(),
	})
	return len(s.runs), http.StatusOK
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// An encoding error here means the client is gone.
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
