package ctl

import (
	"errors"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"github.com/jacinththread/jacinththread/ctl/client"
	"github.com/jacinththread/jacinththread/finding"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means any other failure, such as an incomplete response.
	ExitFailed = 1
	// ExitUsage means an invalid command line or input file.
	ExitUsage = 2
	// ExitRefused means that a daemon returned an error response.
	ExitRefused = 3
	// ExitUnreachable means that no connection to a daemon could be made.
	ExitUnreachable = 4
)

// printError prints a help text or an error and returns the exit code.
func (a *app) printError(err error) int {
	if err == nil {
		return ExitOK
	}
	var help *helpError
	if errors.As(err, &help) {
		fmt.Fprintln(a.Out, help.text)
		return ExitOK
	}
	fmt.Fprintf(a.Err, "%s: %s\n", toolName, trace.UserMessage(err))
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		parse       *flags.Error
		usage       *usageError
		findings    *finding.Error
		refused     *client.RefusedError
		unreachable *client.UnreachableError
	)
	switch {
	case errors.As(err, &parse), errors.As(err, &usage), errors.As(err, &findings):
		return ExitUsage
	case errors.As(err, &refused) && refused.Status != 0:
		return ExitRefused
	case errors.As(err, &unreachable):
		return ExitUnreachable
	}
	return ExitFailed
}
