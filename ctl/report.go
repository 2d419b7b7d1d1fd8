package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jacinththread/jacinththread/report"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

func reportSpec() commandSpec {
	return commandSpec{
		name:  "report",
		short: "Summarize request outcomes and losses from daemon logs",
		long: "Reads the \"request done\" log lines of entry daemons and counts requests by service and route, prompt size, " +
			"failure domain, host, customer, arrival time and reason of the loss. Text before the opening brace of a line is skipped. " +
			"Targets are those that the route had when the request was served.",
		examples: `  jacinththreadctl report entry-*.log
  collector cat entry | jacinththreadctl report --interval 1m --plot losses.png -
  jacinththreadctl --json report entry-1.log > tables.json
`,
		data: &reportCommand{},
	}
}

type reportCommand struct {
	runnable
	Interval time.Duration `long:"interval" value-name:"DURATION" default:"2s" description:"Length of the rows by arrival"`
	Plot     string        `long:"plot" value-name:"FILE" description:"Also draw fates over time into this file; its ending chooses the format, such as png or svg"`
	Args     struct {
		Files []string `positional-arg-name:"LOG" required:"1" description:"Log file; - is standard input"`
	} `positional-args:"yes"`
}

func (c *reportCommand) run(_ context.Context, a *app) error {
	if c.Interval <= 0 {
		return &usageError{fmt.Sprintf("interval %s is not positive", c.Interval)}
	}
	var logs report.Logs
	for _, name := range c.Args.Files {
		if err := readLog(&logs, name, a.In); err != nil {
			return fmt.Errorf("log %s: %w", name, err)
		}
	}
	if c.Plot != "" {
		if err := logs.Plot(c.Plot, c.Interval); err != nil {
			return fmt.Errorf("plot %s: %w", c.Plot, err)
		}
	}
	if logs.Skipped > 0 {
		fmt.Fprintf(a.Err, "skipped %d lines that are not log lines\n", logs.Skipped)
	}
	return a.printReportTables(logs.Tables(c.Interval))
}

func readLog(logs *report.Logs, name string, in io.Reader) error {
	if name == standardInput {
		return logs.Read(in)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return logs.Read(f)
}

func (a *app) printReportTables(tables []report.Table) error {
	if a.JSON {
		return a.printJSON(tables)
	}
	for i := range tables {
		if err := tables[i].Write(a.Out); err != nil {
			return err
		}
		fmt.Fprintln(a.Out)
	}
	return nil
}
