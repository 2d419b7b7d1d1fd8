// Package command implements the command line of the standin program, which runs
// the fake platform, engine and plain service.
package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/jacinththread/jacinththread/internal/standin/engine"
	"github.com/jacinththread/jacinththread/internal/standin/plain"
	standinplatform "github.com/jacinththread/jacinththread/internal/standin/platform"
)

const (
	exitFailed        = 1
	exitUsage         = 2
	readHeaderTimeout = 5 * time.Second
)

// listen holds the options that all commands share.
type listen struct {
	Listen string `long:"listen" required:"true" description:"address to serve, as 127.0.0.1:port"`
}

type platformCommand struct {
	listen
}

type engineCommand struct {
	listen
	Name         string `long:"name" required:"true" description:"host name of the engine"`
	Slots        int    `long:"slots" default:"4" description:"requests that run at once"`
	FirstTokenMs int    `long:"first-token-ms" default:"50" description:"time to the first token"`
	TokenGapMs   int    `long:"token-gap-ms" default:"10" description:"time between tokens"`
	Tokens       int    `long:"tokens" default:"20" description:"output length without max_tokens"`
}

type plainCommand struct {
	listen
	Name              string `long:"name" required:"true" description:"host name of the service"`
	DelayMs           int    `long:"delay-ms" default:"5" description:"time of one call"`
	RejectsDuplicates bool   `long:"checks-order" description:"refuse an Idempotency-Key seen before"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return serve(c.Listen, standinplatform.New().Handler())
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	e := engine.New(engine.Config{
		Name:       c.Name,
		Slots:      c.Slots,
		FirstToken: time.Duration(c.FirstTokenMs) * time.Millisecond,
		TokenGap:   time.Duration(c.TokenGapMs) * time.Millisecond,
		Tokens:     c.Tokens,
	})
	return serve(c.Listen, e.Handler())
}

// Execute implements flags.Commander.
func (c *plainCommand) Execute([]string) error {
	s := plain.New(plain.Config{
		Name:              c.Name,
		Delay:             time.Duration(c.DelayMs) * time.Millisecond,
		RejectsDuplicates: c.RejectsDuplicates,
	})
	return serve(c.Listen, s.Handler())
}

type commands struct {
	Platform platformCommand `command:"platform" description:"serve the platform's store and host list"`
	Engine   engineCommand   `command:"engine" description:"serve a model engine"`
	Plain    plainCommand    `command:"plain" description:"serve a plain service"`
}

// Run executes the command line and returns the exit code.
func Run(args []string) int {
	var c commands
	_, err := flags.NewParser(&c, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "standin:", err)
	return exitFailed
}

// serve serves a handler on a loopback address until SIGTERM or an interrupt.
func serve(addr string, h http.Handler) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("listen address %q: %w", addr, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("listen address %q is not a loopback address", addr)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return server.Close()
	}
}
