// Command jacinththreadctl is the command-line tool for callers and operators of a
// deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jacinththread/jacinththread/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
