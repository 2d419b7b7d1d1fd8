package ctl

import (
	"context"

	"github.com/jacinththread/jacinththread/ctl/client"
	"github.com/jacinththread/jacinththread/scheduler"
)

// listed asks for one of the lists of the operators' interface.
func listed(name string) func(context.Context, *client.Operator) (client.Document, error) {
	return func(ctx context.Context, o *client.Operator) (client.Document, error) { return o.List(ctx, name) }
}

// memberList is the daemons that the asked one knows.
type memberList struct {
	Members []member `json:"members"`
}

type member struct {
	Name          string `json:"name"`
	State         string `json:"state"`
	Region        string `json:"region"`
	Domain        string `json:"domain"`
	PeerAddr      string `json:"peer_addr"`
	CallerAddr    string `json:"caller_addr"`
	BundleVersion uint64 `json:"bundle_version"`
	Load          uint32 `json:"load"`
}

type membersCommand struct{ runnable }

func (*membersCommand) run(ctx context.Context, a *app) error {
	return ask(ctx, a, listed("members"), func(l memberList) error {
		t := newTable("NAME", "STATE", "REGION", "DOMAIN", "CALLERS", "PEERS", "BUNDLE", "REQUESTS")
		for _, m := range l.Members {
			t.add(m.Name, m.State, m.Region, m.Domain, m.CallerAddr, m.PeerAddr, m.BundleVersion, m.Load)
		}
		return a.printTable(t)
	})
}

// serverList is the backend servers that the asked daemon knows.
type serverList struct {
	Servers []server `json:"servers"`
}

type server struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Service string `json:"service"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Owner   string `json:"owner"`
	Leaving bool   `json:"leaving"`
}

type serversCommand struct{ runnable }

func (*serversCommand) run(ctx context.Context, a *app) error {
	return ask(ctx, a, listed("servers"), func(l serverList) error {
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

// queueList is the queues of the scheduler on the asked daemon.
type queueList struct {
	Queues []scheduler.PoolSnapshot `json:"queues"`
}

type queuesCommand struct{ runnable }

func (*queuesCommand) run(ctx context.Context, a *app) error {
	return ask(ctx, a, listed("queues"), func(l queueList) error {
		t := newTable("POOL", "TIER", "WAITING", "RUNNING", "SLOTS OF THE POOL")
		for _, q := range l.Queues {
			t.add(q.Pool, q.Tier, q.Waiting, q.Running, q.Slots)
		}
		return a.printTable(t)
	})
}
