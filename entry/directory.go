package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"

	"github.com/jacinththread/jacinththread/membership"
)

// maxAddresses is the largest number of addresses in a directory response;
// callers ignore any further ones.
const maxAddresses = 64

// directoryTTL is how long callers may cache a directory response. Some cache it
// three times as long, so a stopping daemon receives new requests for at least
// that time.
const directoryTTL = time.Second

// readHeaderTimeout is the time limit for reading a request's header on the
// directory, readiness and metrics interfaces.
const readHeaderTimeout = 3 * time.Second

// callerAddresses returns the addresses that callers should use: those of
// daemons that are alive and have a configuration. Suspected daemons are included
// only if they outnumber the live ones, because the fault is then likely local.
func callerAddresses(daemons []membership.Daemon) []string {
	var alive, suspect []string
	for _, d := range daemons {
		if d.CallerAddr == "" || d.BundleVersion == 0 {
			continue
		}
		switch d.State {
		case membership.Alive:
			alive = append(alive, d.CallerAddr)
		case membership.Suspect:
			suspect = append(suspect, d.CallerAddr)
		}
	}
	if len(suspect) > len(alive) {
		alive = append(alive, suspect...)
	}
	return alive[:min(len(alive), maxAddresses)]
}

// directoryHandler serves the addresses of the daemons to callers.
func directoryHandler(a *Adapter, view membership.View, ttl time.Duration, logger *log.Logger) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(a.DirectoryPath, func(w http.ResponseWriter, r *http.Request) {
		addrs := callerAddresses(view.Daemons())
		if len(addrs) == 0 {
			http.Error(w, "no daemon is ready", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(a.DirectoryBody(addrs, ttl)); err != nil {
			logger.Debug("sending the directory response failed", "err", err)
		}
	}).Methods(http.MethodGet)
	return router
}

// readyHandler serves the readiness check: 200 if the daemon can serve callers,
// otherwise 503 with the reason.
func readyHandler(a *Adapter, ready func() error) http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(a.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	return router
}

// listener is a service that serves an HTTP handler on one address.
type listener struct {
	addr   string
	server *http.Server
	log    *log.Logger
}

func newListener(addr string, h http.Handler, logger *log.Logger) *listener {
	return &listener{addr: addr, log: logger, server: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}}
}

// Start implements kernel.Service. It returns once the address is bound.
func (l *listener) Start(ctx context.Context) error {
	var lc net.ListenConfig
	nl, err := lc.Listen(ctx, "tcp", l.addr)
	if err != nil {
		return err
	}
	go func() {
		if err := l.server.Serve(nl); err != http.ErrServerClosed {
			l.log.Error("listener failed", "addr", l.addr, "err", err)
		}
	}()
	return nil
}

// Stop implements kernel.Service. It closes open connections without waiting for
// their requests.
func (l *listener) Stop(context.Context) error { return l.server.Close() }
