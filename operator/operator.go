// Package operator serves the operators' HTTP interface: proposing, reviewing,
// approving and rolling bundle versions, and reading the state of the system.
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
	// maxBodyBytes bounds a request body; a proposal is the largest.
	maxBodyBytes = 16 << 20
	// callTimeout bounds the store calls of one request.
	callTimeout = 10 * time.Second
	// historyLimit is the number of versions that the history returns.
	historyLimit = 50
)

// Queues tells what waits at the local scheduler.
type Queues interface {
	Snapshot() []scheduler.PoolSnapshot
}

// Config configures the interface.
type Config struct {
	// Store keeps proposals and versions.
	Store store.Store
	// Source gives the version in force on this daemon.
	Source bundle.Source
	View   membership.View
	Queues Queues
	// ReadTimeout bounds reading the body of a request; zero means callTimeout.
	ReadTimeout time.Duration
	// Log and Metrics may be nil.
	Log     *log.Logger
	Metrics metrics.Registry
}

// api holds what the handlers share.
type api struct {
	cfg      Config
	store    *bundle.Store
	calls    metrics.Counter
	refusals metrics.Counter
}

// New returns the handler of all paths below /v1/.
func New(cfg Config) http.Handler {
	if cfg.Log == nil {
		cfg.Log = log.New(io.Discard)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.ReadTimeout <= 0 {
		cfg.ReadTimeout = callTimeout
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
	r.NotFoundHandler = a.handle(func(*http.Request) (reply, error) { return reply{}, errPath })
	r.MethodNotAllowedHandler = a.handle(func(*http.Request) (reply, error) { return reply{}, errMethod })
	return r
}

// reply is a successful answer.
type reply struct {
	status int
	body   any
}

func ok(body any) (reply, error) { return reply{status: http.StatusOK, body: body}, nil }

// handle bounds a request and writes its answer.
func (a *api) handle(f func(*http.Request) (reply, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.calls.Inc(1)
		limitReadTime(w, r, a.cfg.ReadTimeout)
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
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

// limitReadTime bounds the time to read a request's body. net/http lifts the
// bound at the end of the body. A request without one is not bounded, since
// reaching the bound would end its context.
func limitReadTime(w http.ResponseWriter, r *http.Request, limit time.Duration) {
	if r.ContentLength == 0 {
		return
	}
	// Not every ResponseWriter of a test supports deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(limit))
}
