package ctl

import (
	"context"

	"github.com/jacinththread/jacinththread/ctl/client"
	"github.com/jacinththread/jacinththread/operator/operatorapi"
)

// listCall returns a call that fetches one of the lists of the operator API.
func listCall(name string) func(context.Context, *client.Operator) (client.Document, error) {
	return func(ctx context.Context, o *client.Operator) (client.Document, error) { return o.List(ctx, name) }
}

type membersCommand struct{ runnable }

func (*membersCommand) run(ctx context.Context, a *app) error {
	return callOperator(ctx, a, listCall("members"), func(l operatorapi.Members) error {
		t := newTable("NAME", "STATE", "REGION", "DOMAIN", "CALLERS", "PEERS", "BUNDLE", "REQUESTS")
		for _, m := range l.Members {
			t.add(m.Name, m.State, m.Region, m.Domain, m.CallerAddr, m.PeerAddr, m.BundleVersion, m.Load)
		}
		return a.printTable(t)
	})
}

type serversCommand struct{ runnable }

func (*serversCommand) run(ctx context.Context, a *app) error {
	return callOperator(ctx, a, listCall("servers"), func(l operatorapi.Servers) error {
		t := newTable("NAME", "ADDRESS", "SERVICE", "REGION", "DOMAIN", "OWNER", "STATE")
		for _, s := range l.Servers {
			state := "live"
			if s.Leaving {
				state = "leaving"
			}
			t.add(s.Name, s.Addr, s.Service, s.Region, s.Domain, s.Owner, state)
		}
		return a.printTable(t)
	})
}

type queuesCommand struct{ runnable }

func (*queuesCommand) run(ctx context.Context, a *app) error {
	return callOperator(ctx, a, listCall("queues"), func(l operatorapi.Queues) error {
		t := newTable("POOL", "TIER", "WAITING", "RUNNING", "SLOTS OF THE POOL")
		for _, q := range l.Queues {
			t.add(q.Pool, q.Tier, q.Waiting, q.Running, q.Slots)
		}
		return a.printTable(t)
	})
}
