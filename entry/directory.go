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

// maxAddresses bounds a directory answer; callers read no more.
const maxAddresses = 64

// entryTTL is how long callers may keep a directory answer. Some keep it three
// times as long, so a daemon that stops is asked for this long at least.
const entryTTL = time.Second

// headTimeout bounds the reading of a request's head on the small interfaces.
const headTimeout = 3 * time.Second

// callerAddresses returns the addresses that callers should use: those of
// daemons that are live and know a configuration. Suspected daemons are listed
// only if most are suspected, as the fault is then likely local.
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

// directoryHandler answers callers that ask which addresses to use.
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
			logger.Debug("directory answer was not sent", "err", err)
		}
	}).Methods(http.MethodGet)
	return router
}

// readyHandler tells the platform whether the daemon takes callers.
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

// listener serves a small HTTP interface.
type listener struct {
	addr   string
	server *http.Server
	log    *log.Logger
}

func newListener(addr string, h http.Handler, logger *log.Logger) *listener {
	return &listener{addr: addr, log: logger, server: &http.Server{Handler: h, ReadHeaderTimeout: headTimeout}}
}

// Start implements kernel.Service.
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

// Stop implements kernel.Service.
func (l *listener) Stop(context.Context) error { return l.server.Close() }
