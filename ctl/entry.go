package ctl

import (
	"context"

	"github.com/jacinththread/jacinththread/ctl/client"
	"github.com/jacinththread/jacinththread/entry/entryapi"
)

// entryTarget is the entry daemon that a command asks.
type entryTarget struct {
	URL string `long:"entry-url" env:"JACINTHTHREAD_ENTRY_URL" value-name:"URL" default:"http://127.0.0.1:9180" description:"Address of an entry daemon's metrics"`
}

func entrySpecs() []commandSpec {
	return []commandSpec{
		{name: "leaders", short: "Show which daemon leads each role, as one entry daemon knows it", data: &leadersCommand{},
			examples: `  jacinththreadctl leaders --entry-url http://10.1.0.40:9180
`},
		{name: "usage", short: "Show the last usage windows of the entry daemon that reports them", data: &usageCommand{},
			examples: `  jacinththreadctl usage --entry-url http://10.1.0.40:9180
`},
		{name: "autoscaling", short: "Show how many servers are needed, ordered and there", data: &autoscalingCommand{},
			examples: `  jacinththreadctl autoscaling --entry-url http://10.1.0.40:9180
`},
		{name: "shares", short: "Show what customers offer, what they usually do, and who waits for slots", data: &sharesCommand{},
			examples: `  jacinththreadctl shares --entry-url http://10.1.0.40:9180
`},
	}
}

// showEntry fetches a response of an entry daemon and prints it, as JSON or by show.
func showEntry[T any](ctx context.Context, a *app, e *entryTarget, path string, show func(T) error) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	doc, err := client.NewOperator(a.http, e.URL, "").Fetch(ctx, path)
	if err != nil {
		return err
	}
	return showDocument(a, doc, show)
}

type leadersCommand struct {
	runnable
	entryTarget
}

func (c *leadersCommand) run(ctx context.Context, a *app) error {
	return showEntry(ctx, a, &c.entryTarget, entryapi.LeadersPath, func(l entryapi.Leaders) error {
		t := newTable("ROLE", "LEADER", "ADDRESS", "TOKEN", "LEADS FOR MS", "LEFT MS")
		for _, r := range l.Leaders {
			t.add(r.Role, r.Leader, r.Addr, r.Token, r.SinceMs, r.LeftMs)
		}
		return a.printTable(t)
	})
}

type usageCommand struct {
	runnable
	entryTarget
}

func (c *usageCommand) run(ctx context.Context, a *app) error {
	return showEntry(ctx, a, &c.entryTarget, entryapi.UsagePath, func(u entryapi.Usage) error {
		if !u.Leads {
			return &usageError{"this daemon doesn't report usage; `leaders` shows which one does"}
		}
		t := newTable("WINDOW", "REQUESTS", "SENT", "TRIES", "DAEMONS MISSING", "ERROR")
		for _, w := range u.Windows {
			t.add(w.Window, w.Requests, w.Sent, w.Tries, len(w.Missing), w.Error)
		}
		return a.printTable(t)
	})
}

type autoscalingCommand struct {
	runnable
	entryTarget
}

func (c *autoscalingCommand) run(ctx context.Context, a *app) error {
	return showEntry(ctx, a, &c.entryTarget, entryapi.AutoscalingPath, func(s entryapi.Autoscaling) error {
		t := newTable("SERVICE", "NEEDED", "PLANNED", "DOMAIN", "KIND", "TARGET", "ORDERED", "READY", "UNAVAILABLE")
		for _, service := range s.Services {
			if len(service.Domains) == 0 {
				t.add(service.Service, service.Needed, "", "", "", "", "", service.Use.Servers, "")
			}
			for _, d := range service.Domains {
				t.add(service.Service, service.Needed, service.Planned, d.Domain, d.Kind, d.Target, d.Ordered, d.Ready, d.Unavailable)
			}
		}
		return a.printTable(t)
	})
}

type sharesCommand struct {
	runnable
	entryTarget
}

func (c *sharesCommand) run(ctx context.Context, a *app) error {
	return showEntry(ctx, a, &c.entryTarget, entryapi.SharesPath, func(s entryapi.Shares) error {
		if !s.Divided {
			return &usageError{"the settings of this daemon don't divide slots among customers"}
		}
		t := newTable("SERVICE", "URGENCY", "CUSTOMER", "OFFERED TOKENS/S", "USUAL TOKENS/S", "OVER SHARE")
		for _, r := range s.Shares {
			t.add(r.Service, r.Urgency, r.Customer, int64(r.Offered), int64(r.Usual), r.OverShare)
		}
		if err := a.printTable(t); err != nil {
			return err
		}
		waiting := newTable("SERVICE", "WAITING", "BYTES", "TURN EVERY MS", "BY URGENCY")
		for _, q := range s.Waiting {
			waiting.add(q.Service, q.Requests, q.Bytes, q.IntervalMs, q.UrgentFirst)
		}
		return a.printTable(waiting)
	})
}
