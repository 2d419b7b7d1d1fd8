package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/operator"
	"github.com/jacinththread/jacinththread/scheduler"
	"github.com/jacinththread/jacinththread/telemetry"
)

// operatorServer is the HTTP server for operators: the operator API, health
// checks, metrics and profiles.
type operatorServer struct {
	server *http.Server
	addr   string
	log    *log.Logger
}

func (b *builder) newOperators(r kernel.Registry) (kernel.Service, error) {
	f := serviceFinder{registry: r}
	store := find[platformService](&f, platformName)
	c := findSharedServices(&f)
	queues := find[*scheduler.Service](&f, schedulerName)
	if f.err != nil {
		return nil, f.err
	}
	readTimeout := time.Duration(b.settings.Callers.ReadTimeoutMs) * time.Millisecond
	router := mux.NewRouter()
	telemetry.Routes(router, b.metrics, func() error { return ready(c.bundles) })
	router.PathPrefix("/v1/").Handler(operator.New(operator.Config{
		Store:       store,
		Source:      c.bundles,
		View:        c.view,
		Queues:      queues,
		ReadTimeout: readTimeout,
		Log:         b.log,
		Metrics:     b.metrics,
	}))
	return &operatorServer{
		server: &http.Server{
			Handler:           router,
			ReadHeaderTimeout: readTimeout,
			IdleTimeout:       idleTimeout,
		},
		addr: b.settings.Listen.Operators,
		log:  b.log,
	}, nil
}

// ready returns an error while the daemon cannot serve callers.
func ready(bundles *bundle.Activator) error {
	if !bundles.Ready() {
		return errors.New("no bundle version is in force yet")
	}
	return nil
}

// Start implements kernel.Service.
func (o *operatorServer) Start(ctx context.Context) error {
	_, _, err := serve(ctx, o.server, o.addr, o.log)
	return err
}

// Stop implements kernel.Service.
func (o *operatorServer) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operatorStopTimeout)
	defer cancel()
	if err := o.server.Shutdown(ctx); err != nil {
		return o.server.Close()
	}
	return nil
}
