// Package standinplatform is an in-memory fake of the platform for tests and the
// demo. It serves the protocol of docs/design/platform.md.
package standinplatform

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/jacinththread/jacinththread/store"
	"github.com/jacinththread/jacinththread/store/storetest"
)

// Standin is an in-memory platform with a key-value store and a host list.
type Standin struct {
	store *storetest.Platform
}

// New returns a platform with an empty store and host list.
func New() *Standin {
	return &Standin{store: storetest.New()}
}

// SetHosts replaces the host list.
func (s *Standin) SetHosts(hosts []store.Host) { s.store.SetHosts(hosts) }

// Store returns the store that the platform serves.
func (s *Standin) Store() *storetest.Platform { return s.store }

// Handler returns the handler of the platform's protocol and of the admin
// endpoints.
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

// Faults is the body of POST /admin/faults. Each request replaces all faults that
// were set before.
type Faults struct {
	// Down makes every store and host list request fail.
	Down bool `json:"down"`
	// LatencyMs is the latency added to each request, in milliseconds.
	LatencyMs int `json:"slow_ms"`
	// DropResponses is the number of following writes of each kind that take
	// effect but whose connection is closed without a response.
	DropResponses int `json:"lose_replies"`
	// HostLagMs is the delay before a change of the host list becomes visible, in
	// milliseconds.
	HostLagMs int `json:"host_lag_ms"`
}

// SetFaults replaces all faults that were set before.
func (s *Standin) SetFaults(f Faults) {
	s.store.SetDown(f.Down)
	s.store.SetLatency(time.Duration(f.LatencyMs) * time.Millisecond)
	s.store.SetHostLag(time.Duration(f.HostLagMs) * time.Millisecond)
	for _, op := range []storetest.Op{storetest.OpCreate, storetest.OpSwap, storetest.OpDelete} {
		s.store.FailNext(op, f.DropResponses, storetest.ReplyLost)
	}
}
