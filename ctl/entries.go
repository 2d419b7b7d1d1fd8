package ctl

import (
	"context"
	"fmt"
)

type entriesCommand struct {
	runnable
}

func (c *entriesCommand) run(ctx context.Context, a *app) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	entries, err := a.directory(false).FetchEntries(ctx)
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printJSON(entries)
	}
	t := newTable("NAME", "ADDRESS", "DOMAIN")
	for _, e := range entries.Entries {
		t.add(e.Name, e.Addr, e.Domain)
	}
	if err := a.printTable(t); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.Out, "\nThis list may be cached for %d ms.\n", entries.TTLMs)
	return err
}
