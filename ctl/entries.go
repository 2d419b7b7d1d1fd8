package ctl

import (
	"context"
	"fmt"
)

type entriesCommand struct {
	runnable
}

func (c *entriesCommand) run(ctx context.Context, a *app) error {
	ctx, cancel := a.bounded(ctx)
	defer cancel()
	answer, err := a.directory(false).Ask(ctx)
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printJSON(answer)
	}
	t := newTable("NAME", "ADDRESS", "DOMAIN")
	for _, e := range answer.Entries {
		t.add(e.Name, e.Addr, e.Domain)
	}
	if err := a.printTable(t); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.Out, "\nThe answer may be kept for %d ms.\n", answer.TTLMs)
	return err
}
