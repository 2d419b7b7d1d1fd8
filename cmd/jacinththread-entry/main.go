// Command jacinththread-entry is the daemon that runs on each entry host of the
// users' platform, with the platform's store and settings file. jacinththreadd is
// the daemon for deployments with the project's own.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/entry"
	"github.com/jacinththread/jacinththread/platform"
	"github.com/jacinththread/jacinththread/settings"
	"github.com/jacinththread/jacinththread/telemetry"
)

// Exit codes of the daemon.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

type options struct {
	Settings    string  `long:"settings" env:"JACINTHTHREAD_NODE_FILE" description:"settings file of the platform"`
	MetricsPort string  `long:"metrics-port" description:"port that serves metrics; none if empty"`
	LogLevel    string  `long:"log-level" default:"info" description:"least level that is logged"`
	OTLPURL     string  `long:"otlp-url" description:"endpoint that takes spans as OTLP over HTTP; none if empty"`
	SpanRatio   float64 `long:"span-ratio" default:"0.01" description:"share of requests traced besides those that the caller traces, 0 to 1"`
}

// flushTimeout is the time limit for exporting the remaining spans at exit.
const flushTimeout = 300 * time.Millisecond

const programName = "jacinththread-entry"

func main() {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	os.Exit(run(o))
}

// run runs the daemon until it stops and returns the exit code.
func run(o options) int {
	s, addrs, err := platform.ReadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if o.MetricsPort != "" {
		s.Metrics = net.JoinHostPort(s.IP, o.MetricsPort)
	}
	registry := metrics.NewRegistry()
	out := telemetry.NewAsyncWriter(os.Stdout, registry)
	defer out.Close()
	t := settings.Telemetry{LogLevel: o.LogLevel, LogFormat: "json", OTLPURL: o.OTLPURL, SampleRatio: o.SpanRatio}
	logger, err := telemetry.NewLogger(out, t, s.Name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	tracing, err := telemetry.NewTracing(context.Background(), t, programName, s.Name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	defer tracing.Flush(flushTimeout, logger)
	instruments := entry.Instruments{Log: logger, Metrics: registry, Tracer: tracing.Tracer}
	if err := entry.New(s, adapter(o.Settings, addrs, registry), instruments).Run(); err != nil {
		logger.Error("daemon failed", "err", err)
		return exitFailed
	}
	return 0
}

// adapter returns the adapter to the platform. Reloading the settings from path
// also changes the addresses of the platform's services.
func adapter(path string, addrs platform.Addresses, registry metrics.Registry) entry.Adapter {
	kv := platform.NewKV(addrs.Store, registry)
	control := platform.NewControl(addrs.Control, registry)
	reload := func() (*entry.Settings, error) {
		s, addrs, err := platform.ReadSettings(path)
		if err != nil {
			return nil, err
		}
		kv.SetAddr(addrs.Store)
		control.SetAddr(addrs.Control)
		return s, nil
	}
	return entry.Adapter{
		Source: kv, Registry: kv, Blocks: kv, Store: kv, Usage: control, Orders: control,
		Decoder: platform.Records{}, HeaderCodec: platform.HeaderCodec{}, Reload: reload,
		DirectoryPath: platform.DirectoryPath, ReadyPath: platform.ReadyPath,
		DirectoryBody: platform.HeaderCodec{}.Directory,
	}
}
