package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jacinththread/jacinththread/ctl/client"
	"github.com/jacinththread/jacinththread/ctl/load"
)

type loadCommand struct {
	runnable
	Quiet bool `long:"quiet" description:"Show no progress on standard error"`
	Args  struct {
		File string `positional-arg-name:"WORKLOAD" description:"Workload file, JSON with comments"`
	} `positional-args:"yes" required:"yes"`
}

func (c *loadCommand) run(ctx context.Context, a *app) error {
	w, err := load.ReadWorkload(c.Args.File)
	if err != nil {
		return &usageError{err.Error()}
	}
	tokens, err := c.tokens(a, w)
	if err != nil {
		return err
	}
	dir := a.directory(true)
	if err := c.checkReachable(ctx, a, dir); err != nil {
		return err
	}
	runner := &load.Runner{Workload: w, Sender: client.NewCaller(a.http, dir), Tokens: tokens}
	if !c.Quiet {
		runner.Progress = func(p load.Progress) { printProgress(a.Err, p) }
	}
	report := runner.Run(ctx)
	if !c.Quiet {
		fmt.Fprintln(a.Err)
	}
	if err := a.printLoadReport(report); err != nil {
		return err
	}
	if report.Total.Completed == 0 {
		return errors.New("no request was completed")
	}
	return nil
}

// checkReachable fetches the entries once, so that a load against unreachable
// daemons fails before it starts.
func (c *loadCommand) checkReachable(ctx context.Context, a *app, dir *client.Directory) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	_, err := dir.Addrs(ctx)
	return err
}

// tokens returns the bearer token of each stream.
func (c *loadCommand) tokens(a *app, w *load.Workload) ([]string, error) {
	tokens := make([]string, len(w.Streams))
	for i, s := range w.Streams {
		if s.TokenEnv == "" {
			token, err := a.token()
			if err != nil {
				return nil, err
			}
			tokens[i] = token
			continue
		}
		tokens[i] = os.Getenv(s.TokenEnv)
		if tokens[i] == "" {
			return nil, &usageError{fmt.Sprintf("streams[%d]: environment variable %s is unset or empty", i, s.TokenEnv)}
		}
	}
	return tokens, nil
}

// printProgress overwrites the progress line.
func printProgress(w io.Writer, p load.Progress) {
	fmt.Fprintf(w, "\r%3.0f of %.0f s: sent %d, in flight %d, completed %d, refused %d, failed %d   ",
		p.Elapsed.Seconds(), p.Duration.Seconds(), p.Sent, p.InFlight, p.Completed, p.Refused, p.Failed)
}

func (a *app) printLoadReport(r *load.Report) error {
	if a.JSON {
		return a.printJSON(r)
	}
	classes := append(r.Classes, r.Total)
	t := newTable("CLASS", "OFFERED", "COMPLETED", "REFUSED", "FAILED", "NOT SENT", "ATTAINMENT",
		"GOOD REQ/S", "GOOD TOKENS/S", "WASTED TOKENS", "WASTED SHARE")
	for _, c := range classes {
		t.add(c.Class, c.Offered, c.Completed, c.Refused, c.Failed+c.Unreachable, c.NotSent,
			fmt.Sprintf("%.4f", c.Attainment), c.GoodRequests, c.GoodTokens, c.WastedTokens,
			fmt.Sprintf("%.4f", c.WastedShare))
	}
	if err := a.printTable(t); err != nil {
		return err
	}
	fmt.Fprintln(a.Out)
	t = newTable("CLASS", "FIRST TOKEN P50 MS", "P95", "P99", "MAX", "TOKEN GAP P50 MS", "P95", "P99", "MAX")
	for _, c := range classes {
		f, g := c.FirstToken, c.TokenGap
		t.add(c.Class, f.P50, f.P95, f.P99, f.Max, g.P50, g.P95, g.P99, g.Max)
	}
	return a.printTable(t)
}
