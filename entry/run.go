package entry

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jacinththread/jacinththread/kernel"
)

const (
	// startTimeout is the time limit for starting all services.
	startTimeout = 10 * time.Second
	// drainAcceptTime is how long a stopping daemon keeps accepting new
	// requests: callers cache a directory response for up to three times its TTL.
	drainAcceptTime = 2500 * time.Millisecond
	// firstRequestTimeout is how long connections accepted last have to send
	// their first request. It covers several round trips between failure domains.
	firstRequestTimeout = 100 * time.Millisecond
	// exitReserve is the part of the grace period kept for stopping the services
	// and exiting the process.
	exitReserve = 600 * time.Millisecond
	// drainPollInterval is how often a draining daemon checks for requests in
	// flight.
	drainPollInterval = 20 * time.Millisecond
	// stopTimeout is the time limit for stopping all services after draining.
	stopTimeout = 500 * time.Millisecond
	// memoryLimitRatio is the Go memory limit as a fraction of the available
	// memory. Close to the limit the garbage collector runs more often.
	memoryLimitRatio = 0.6
)

// Run starts the daemon and blocks until it has stopped after a signal. It
// returns an error only if the daemon could not start.
func (d *Daemon) Run() error {
	runtime.GOMAXPROCS(max(1, d.settings.Cores))
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(d.settings.MemoryBytes)))
	k, err := kernel.New(d.log, d.Modules()...)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := k.Start(ctx); err != nil {
		return err
	}
	d.log.Info("daemon started", "name", d.settings.Name, "domain", d.settings.Domain, "callers", d.settings.Callers, "peers", d.settings.Peers)
	d.awaitStop(signals)
	d.drain()
	ctx, cancel = context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err = k.Stop(ctx)
	d.log.Info("daemon stopped", "err", err)
	return nil
}

// awaitStop blocks until SIGTERM or SIGINT arrives. It reloads the settings on
// SIGHUP.
func (d *Daemon) awaitStop(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			d.reload(true)
			continue
		}
		d.log.Info("stop requested", "signal", s.String(), "grace", d.current.Load().Grace)
		return
	}
}

// drain removes the daemon from the directory, stops accepting connections and
// waits until the requests in flight are done or the grace period is nearly over.
func (d *Daemon) drain() {
	start := time.Now()
	d.leaving.Store(true)
	for _, e := range d.elections {
		go e.Resign()
	}
	d.carrier.Leave()
	d.members.Leave()
	d.callers.CloseAfterResponses()
	time.Sleep(min(drainAcceptTime, d.current.Load().Grace/3))
	d.callers.StopAccepting()
	time.Sleep(firstRequestTimeout)
	d.callers.CloseIdle()
	for d.callers.ActiveConns()+d.carrier.Open() > 0 && time.Since(start) < d.current.Load().Grace-exitReserve {
		time.Sleep(drainPollInterval)
	}
	d.log.Info("requests drained", "left", d.callers.ActiveConns(), "tunnels", d.carrier.Open(), "took_ms", time.Since(start).Milliseconds())
}
