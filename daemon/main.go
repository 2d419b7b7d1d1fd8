// Package daemon assembles the services of one daemon and runs them until a
// planned stop.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/settings"
	"github.com/jacinththread/jacinththread/telemetry"
)

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

// programName is the program's name in usage texts, error output and spans.
const programName = "jacinththreadd"

const (
	startTimeout = 30 * time.Second
	flushTimeout = 5 * time.Second
)

type options struct {
	Settings string `long:"settings" short:"s" required:"true" description:"settings file (JSON with comments)"`
	Check    bool   `long:"check-config" description:"check the settings file, report all findings and exit"`
}

// Main runs the command line of the daemon and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = programName
	if _, err := parser.ParseArgs(args); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, err)
			return exitOK
		}
		fmt.Fprintln(stderr, programName+":", err)
		return exitUsage
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if o.Check {
		fmt.Fprintln(stdout, o.Settings, "is valid")
		return exitOK
	}
	logger, err := telemetry.NewLogger(stderr, s.Telemetry, s.Name)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	if err := run(s, logger); err != nil {
		logger.Error("daemon failed", "err", err)
		return exitFailed
	}
	return exitOK
}

// run starts the services, waits for a signal and stops them. The first signal
// requests a planned stop. A second signal, or the configured time limit, ends
// the planned stop early.
func run(s *settings.Settings, logger *log.Logger) error {
	tracing, err := telemetry.NewTracing(context.Background(), s.Telemetry, programName, s.Name)
	if err != nil {
		return err
	}
	defer tracing.Flush(flushTimeout, logger)
	k, err := kernel.New(logger, Modules(s, logger, tracing.Tracer)...)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := k.Start(startCtx); err != nil {
		return err
	}
	logger.Info("daemon started")
	logger.Info("planned stop started", "signal", (<-signals).String())
	stopCtx, stop := stopContext(s, signals)
	defer stop()
	err = k.Stop(stopCtx)
	logger.Info("daemon stopped")
	return err
}

// stopContext returns a context that ends after the configured time limit of a
// planned stop or at a further signal.
func stopContext(s *settings.Settings, signals <-chan os.Signal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	if s.Stop.TimeoutMs > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(s.Stop.TimeoutMs)*time.Millisecond)
	}
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
