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
	// startTimeout bounds the start of all services.
	startTimeout = 10 * time.Second
	// lingerTime is how long a stopping daemon takes new requests: callers keep
	// a directory answer for up to three times its lifetime.
	lingerTime = 2500 * time.Millisecond
	// firstRequestTime is how long the last connections may take to send their
	// first request: several round trips between failure domains.
	firstRequestTime = 100 * time.Millisecond
	// stopReserve is left of the grace time for the end of the process.
	stopReserve = 600 * time.Millisecond
	// stopPoll is the time between two looks at the requests in progress.
	stopPoll = 20 * time.Millisecond
	// stopTimeout bounds the stop of the services after the last request.
	stopTimeout = 500 * time.Millisecond
	// memoryShare is the part of the memory that the heap may take before the
	// garbage collector works harder.
	memoryShare = 0.6
)

// Run starts the daemon and returns after a planned stop.
func (d *Daemon) Run() error {
	runtime.GOMAXPROCS(max(1, d.settings.Cores))
	debug.SetMemoryLimit(int64(memoryShare * float64(d.settings.MemoryBytes)))
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

// awaitStop returns when the platform asks the daemon to stop.
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

// drain takes the daemon out of the directory and answers what has come.
func (d *Daemon) drain() {
	begun := time.Now()
	d.leaving.Store(true)
	d.members.Leave()
	d.callers.CloseAfterAnswers()
	time.Sleep(min(lingerTime, d.current.Load().Grace/3))
	d.callers.StopAccepting()
	time.Sleep(firstRequestTime)
	d.callers.CloseIdle()
	for d.callers.Busy() > 0 && time.Since(begun) < d.current.Load().Grace-stopReserve {
		time.Sleep(stopPoll)
	}
	d.log.Info("requests drained", "left", d.callers.Busy(), "took_ms", time.Since(begun).Milliseconds())
}
