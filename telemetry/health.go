package telemetry

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
)

// Readiness returns nil if the daemon can serve callers, or an error that says
// what is missing.
type Readiness func() error

// health is the body of health check responses.
type health struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

// Routes adds /healthz, /readyz, /metrics and /debug/pprof/ to the router of
// the operators' port.
func Routes(router *mux.Router, registry metrics.Registry, ready Readiness) {
	HealthRoutes(router, ready)
	router.Handle("/metrics", MetricsHandler(registry))
	router.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	router.HandleFunc("/debug/pprof/trace", pprof.Trace)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
}

// HealthRoutes adds /healthz, which returns 200 while the process runs, and
// /readyz, which returns 503 with the reason while the daemon is not ready.
func HealthRoutes(router *mux.Router, ready Readiness) {
	router.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeHealth(w, http.StatusOK, health{Status: "alive"})
	}).Methods(http.MethodGet, http.MethodHead)
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			writeHealth(w, http.StatusServiceUnavailable, health{Status: "not ready", Reason: err.Error()})
			return
		}
		writeHealth(w, http.StatusOK, health{Status: "ready"})
	}).Methods(http.MethodGet, http.MethodHead)
}

func writeHealth(w http.ResponseWriter, status int, h health) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(h)
}
