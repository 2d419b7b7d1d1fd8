// Package operator implements the HTTP API for operators: proposing, reviewing,
// approving and rolling bundle versions, and reading the state of the deployment.
package operator

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/scheduler"
	"github.com/jacinththread/jacinththread/store"
)

const (
	// maxBodyBytes limits a request body; proposals are the largest.
	maxBodyBytes = 16 << 20
	// requestTimeout limits the handling of one request with its store calls.
	requestTimeout = 10 * time.Second
	// historyLimit is the maximum number of versions in a history response.
	historyLimit = 50
)

// Queues returns the state of the local scheduler's queues.
type Queues interface {
	Snapshot() []scheduler.PoolSnapshot
}

// Config configures the operator API.
type Config struct {
	// Store holds the proposals and versions.
	Store store.Store
	// Source returns the version in force on this daemon.
	Source bundle.Source
	View   membership.View
	Queues Queues
	// ReadTimeout limits the time to read a request body; zero means
	// requestTimeout.
	ReadTimeout time.Duration
	// Log and Metrics may be nil.
	Log     *log.Logger
	Metrics metrics.Registry
}

// api holds the state that the handlers share.
type api struct {
	cfg      Config
	store    *bundle.Store
	calls    metrics.Counter
	refusals metrics.Counter
}

// New returns the handler for all paths below /v1/.
func New(cfg Config) http.Handler {
	if cfg.Log == nil {
		cfg.Log = log.New(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.ReadTimeout <= 0 {
		cfg.ReadTimeout = requestTimeout
	}
	a := &api{
		cfg:      cfg,
		store:    bundle.NewStore(cfg.Store),
		calls:    metrics.GetOrRegisterCounter("operator.calls", cfg.Metrics),
		refusals: metrics.GetOrRegisterCounter("operator.refusals", cfg.Metrics),
	}
	return a.routes()
}

func (a *api) routes() http.Handler {
	r := mux.NewRouter()
	bundles := r.PathPrefix("/v1/bundle").Subrouter()
	bundles.Handle("/proposals", a.handle(a.propose)).Methods(http.MethodPost)
	bundles.Handle("/proposals/{change}", a.handle(a.review)).Methods(http.MethodGet)
	bundles.Handle("/proposals/{change}/approve", a.handle(a.approve)).Methods(http.MethodPost)
	bundles.Handle("/proposals/{change}/roll", a.handle(a.roll)).Methods(http.MethodPost)
	bundles.Handle("/status", a.handle(a.status)).Methods(http.MethodGet)
	bundles.Handle("/history", a.handle(a.history)).Methods(http.MethodGet)
	bundles.Handle("/versions/{version:[0-9]+}", a.handle(a.version)).Methods(http.MethodGet)
	r.Handle("/v1/members", a.handle(a.members)).Methods(http.MethodGet)
	r.Handle("/v1/servers", a.handle(a.servers)).Methods(http.MethodGet)
	r.Handle("/v1/queues", a.handle(a.queues)).Methods(http.MethodGet)
	r.NotFoundHandler = a.handle(func(*http.Request) (response, error) { return response{}, errPathNotFound })
	r.MethodNotAllowedHandler = a.handle(func(*http.Request) (response, error) { return response{}, errMethodNotAllowed })
	return r
}

// response is a successful response.
type response struct {
	status int
	body   any
}

// ok returns a response with status 200.
func ok(body any) (response, error) { return response{status: http.StatusOK, body: body}, nil }

// handle limits the duration and body size of a request, calls f and writes the
// response or the error.
func (a *api) handle(f func(*http.Request) (response, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.calls.Inc(1)
		setReadDeadline(w, r, a.cfg.ReadTimeout)
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		out, err := f(r.WithContext(ctx))
		if err != nil {
			a.refusals.Inc(1)
			a.writeError(w, r, err)
			return
		}
		writeJSON(w, out.status, out.body)
	})
}

// setReadDeadline limits the time to read a request body. net/http clears the
// deadline at the end of the body. A request without a body gets no deadline,
// because an expired read deadline would cancel its context.
func setReadDeadline(w http.ResponseWriter, r *http.Request, limit time.Duration) {
	if r.ContentLength == 0 {
		return
	}
	// The ResponseWriters of some tests do not support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit))
}
