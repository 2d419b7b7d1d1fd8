// Package gateway speaks with callers. It authenticates and classes requests,
// holds their bodies until a slot is granted, and owns their outcome: it alone
// decides whether a request ran.
package gateway

import (
	"errors"
	"net/http"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/dispatch"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/settings"
)

// Config holds what a Gateway needs.
type Config struct {
	Bundles      bundle.Source
	View         membership.View
	Reservations *reservation.Manager
	Backends     *dispatch.Client
	Claims       claims.Claimer
	Limits       settings.Callers
	Entries      http.Handler
	Log          *log.Logger
	Metrics      metrics.Registry
	Tracer       trace.Tracer
}

// Gateway serves the callers' interface. It is safe for concurrent use.
type Gateway struct {
	cfg      Config
	counters *counters
	budgets  *retryBudgets
	lengths  *lengthTable
	held     atomic.Int64
	draining atomic.Bool
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	return &Gateway{
		cfg:      cfg,
		counters: newCounters(cfg.Metrics),
		budgets:  newRetryBudgets(),
		lengths:  newLengthTable(),
	}
}

// Held returns the number of requests the gateway holds.
func (g *Gateway) Held() int { return int(g.held.Load()) }

// Drain makes every answer from now on close its connection, so that callers
// move to other addresses.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Handler serves the callers' interface.
func (g *Gateway) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/v1/entries", g.cfg.Entries).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", g.handle(g.serveChat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", g.handle(g.serveText)).Methods(http.MethodPost)
	r.HandleFunc("/services/{service}/{path:.*}", g.handle(g.servePlain))
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &Error{Status: http.StatusNotFound, Code: "not_found", Message: "path does not exist"}, NotRun)
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, &Error{Status: http.StatusMethodNotAllowed, Code: "method_not_allowed", Message: "path does not take this method"}, NotRun)
	})
	return r
}

// handle wraps a serving function: it counts the request, admits it, and
// writes the error it returns.
func (g *Gateway) handle(serve func(http.ResponseWriter, *request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.held.Add(1)
		defer g.held.Add(-1)
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		req := g.newRequest(r)
		w.Header().Set(HeaderRequestID, req.id)
		defer req.span.End()
		err := g.admit(w, req)
		if err == nil {
			err = serve(w, req)
		}
		g.finish(w, req, err)
	}
}

// finish logs the outcome and writes an error. If the answer has begun or the
// caller went away, it aborts the connection instead: returning would send an
// empty answer with status 200.
func (g *Gateway) finish(w http.ResponseWriter, req *request, err error) {
	if err == nil {
		g.counters.served.Inc(1)
		return
	}
	if callerGone(req, err) {
		g.counters.left.Inc(1)
		panic(http.ErrAbortHandler)
	}
	e := asError(err)
	g.counters.failed(e.Status)
	g.logFailure(req, e, err)
	if req.begun {
		// The answer is cut without its terminal marker.
		panic(http.ErrAbortHandler)
	}
	writeError(w, e, req.run)
}

// logFailure logs a failed request. The messages of errors for the caller may
// quote what it sent and are left out.
func (g *Gateway) logFailure(req *request, e *Error, err error) {
	g.cfg.Log.Info("request failed", "request_id", req.id, "customer", req.customerName(),
		"class", req.className(), "code", e.Code, "status", e.Status)
	var known *Error
	if !errors.As(err, &known) {
		g.cfg.Log.Error("request met an internal error", "request_id", req.id, "err", err)
	}
}

// callerGone reports whether nobody waits for the answer. net/http ends the
// request's context after a timeout of its body as well, but then the caller
// still waits.
func callerGone(req *request, err error) bool {
	if errors.Is(err, errBodyTimeout) {
		return false
	}
	return req.http.Context().Err() != nil || errors.Is(err, errCallerGone)
}
