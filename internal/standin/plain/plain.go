// Package plain is a fake plain HTTP service, which is a service that is no model
// engine. It records every call that it runs.
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

// Run records one call that the service ran.
type Run struct {
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Key       string    `json:"key"`
	RequestID string    `json:"request_id"`
	Body      string    `json:"body"`
	Started   time.Time `json:"started"`
}

// Config sets the service's name and behavior.
type Config struct {
	Name string
	// Delay is the duration of each call.
	Delay time.Duration
	// RejectsDuplicates makes the service reject a call with status 409 if it has
	// already run a call with the same Idempotency-Key.
	RejectsDuplicates bool
}

// Server is a fake plain service. It is safe for concurrent use.
type Server struct {
	mu     sync.Mutex
	cfg    Config
	faults Faults
	runs   []Run
	keys   map[string]bool
}

// Faults is the body of POST /admin/faults. DelayMs replaces Config.Delay if it
// is set.
type Faults struct {
	Draining bool `json:"draining"`
	// DropResponses closes the connection without a response after the call ran.
	DropResponses bool `json:"lose_replies"`
	DelayMs       *int `json:"delay_ms"`
}

// New returns a service.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, keys: map[string]bool{}}
}

// Handler returns a handler that serves calls on every path but those of the
// admin endpoints.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/runs", s.serveRuns).Methods(http.MethodGet)
	r.HandleFunc("/admin/faults", s.serveFaults).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(s.serve)
	return r
}

// Runs returns a copy of the runs so far, in order of their start.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// SetFaults replaces the faults and, if given, the delay.
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
		fmt.Fprintf(w, "{\"error\":{\"code\":%q}}\n", errorCode(status))
		return
	}
	s.mu.Lock()
	delay, dropResponse := s.cfg.Delay, s.faults.DropResponses
	s.mu.Unlock()
	time.Sleep(delay)
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"server\":%q,\"run\":%d,\"path\":%q}\n", s.cfg.Name, n, r.URL.Path)
}

func errorCode(status int) string {
	if status == http.StatusConflict {
		return "key_seen"
	}
	return "draining"
}

// record adds a run and returns its number and status 200, or returns the error
// status with which the call is rejected.
func (s *Server) record(r *http.Request, body string) (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Draining {
		return 0, http.StatusServiceUnavailable
	}
	key := r.Header.Get("Idempotency-Key")
	if s.cfg.RejectsDuplicates && key != "" && s.keys[key] {
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
	// Encoding fails only if the client has disconnected.
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
