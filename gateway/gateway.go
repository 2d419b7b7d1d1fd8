// Package gateway serves the HTTP interface for callers. It authenticates and
// classifies requests, buffers their bodies until a slot is granted, and relays the
// responses of the backend servers. Only this package decides whether a request
// is reported as run.
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
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/settings"
)

// Config holds the dependencies and limits of a Gateway.
type Config struct {
	Bundles      bundle.Source
	View         membership.View
	Reservations *reservation.Manager
	Backends     *dispatch.Client
	Claims       claims.Claimer
	Quarantine   *quarantine.List
	Limits       settings.Callers
	// EntryDirectory serves the addresses of live daemons.
	EntryDirectory http.Handler
	Log            *log.Logger
	Metrics        metrics.Registry
	Tracer         trace.Tracer
}

// Gateway serves the HTTP interface for callers. It is safe for concurrent use.
type Gateway struct {
	cfg           Config
	metrics       *gatewayMetrics
	retryBudgets  *retryBudgets
	outputLengths *lengthEstimator
	inFlight      atomic.Int64
	draining      atomic.Bool
}

// New returns a Gateway with the given dependencies.
func New(cfg Config) *Gateway {
	return &Gateway{
		cfg:           cfg,
		metrics:       newGatewayMetrics(cfg.Metrics),
		retryBudgets:  newRetryBudgets(),
		outputLengths: newLengthEstimator(),
	}
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Drain makes every following response close its connection, so that callers
// reconnect to other daemons.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Handler returns the HTTP handler of the gateway.
func (g *Gateway) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/v1/entries", g.cfg.EntryDirectory).Methods(http.MethodGet)
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

// handle returns an HTTP handler that admits a request, calls serve and writes
// the error that either of them returns.
func (g *Gateway) handle(serve func(http.ResponseWriter, *request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
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

// finish counts and logs the result of a request and writes the error response.
// If the response has started or the caller has disconnected, it aborts the
// connection instead: returning would send an empty response with status 200.
func (g *Gateway) finish(w http.ResponseWriter, req *request, err error) {
	if err == nil {
		g.metrics.served.Inc(1)
		return
	}
	if callerDisconnected(req, err) {
		g.metrics.callerLeft.Inc(1)
		panic(http.ErrAbortHandler)
	}
	e := asError(err)
	g.metrics.countError(e.Status)
	g.logFailure(req, e, err)
	if req.responseStarted {
		// The response ends without its terminal marker.
		panic(http.ErrAbortHandler)
	}
	writeError(w, e, req.runState)
}

// logFailure logs a failed request. It omits the messages of errors for the
// caller, because they may quote the request.
func (g *Gateway) logFailure(req *request, e *Error, err error) {
	g.cfg.Log.Info("request failed", "request_id", req.id, "customer", req.customerName(),
		"class", req.className(), "code", e.Code, "status", e.Status)
	var known *Error
	if !errors.As(err, &known) {
		g.cfg.Log.Error("internal error while serving a request", "request_id", req.id, "err", err)
	}
}

// callerDisconnected reports whether the caller no longer waits for the response.
// net/http also cancels the request's context when reading the body times out,
// but then the caller is still connected.
func callerDisconnected(req *request, err error) bool {
	if errors.Is(err, errBodyTimeout) {
		return false
	}
	return req.http.Context().Err() != nil || errors.Is(err, errCallerDisconnected)
}
