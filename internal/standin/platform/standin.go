// Package standinplatform is a small stand-in for the platform: it serves the
// protocol of docs/design/platform.md from memory, for tests and the demo.
package standinplatform

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// Standin serves a platform from memory.
type Standin struct {
	store *storetest.Platform
}

// New returns a stand-in with an empty store and host list.
func New() *Standin {
	return &Standin{store: storetest.New()}
}

// SetHosts replaces the host list.
func (s *Standin) SetHosts(hosts []store.Host) { s.store.SetHosts(hosts) }

// Store returns the store behind the stand-in.
func (s *Standin) Store() *storetest.Platform { return s.store }

// Handler serves the platform's protocol and the admin calls.
func (s *Standin) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/kv", s.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{key:.+}", s.get).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{key:.+}", s.put).Methods(http.MethodPut)
	r.HandleFunc("/v1/kv/{key:.+}", s.delete).Methods(http.MethodDelete)
	r.HandleFunc("/v1/hosts", s.hosts).Methods(http.MethodGet)
	r.HandleFunc("/admin/hosts", s.adminHosts).Methods(http.MethodPost)
	r.HandleFunc("/admin/faults", s.adminFaults).Methods(http.MethodPost)
	return r
}

// Faults is the body of POST /admin/faults. It replaces all earlier faults.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// SlowMs is added to each call, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseReplies is the number of coming writes of each kind that take effect
	// while their connection breaks.
	LoseReplies int `json:"lose_replies"`
	// HostLagMs is the lag of the host list, in milliseconds.
	HostLagMs int `json:"host_lag_ms"`
}

// SetFaults replaces all faults.
func (s *Standin) SetFaults(f Faults) {
	s.store.SetDown(f.Down)
	s.store.SetLatency(time.Duration(f.SlowMs) * time.Millisecond)
	s.store.SetHostLag(time.Duration(f.HostLagMs) * time.Millisecond)
	for _, op := range []storetest.Op{storetest.OpCreate, storetest.OpSwap, storetest.OpDelete} {
		s.store.FailNext(op, f.LoseReplies, storetest.ReplyLost)
	}
}
