package operator

import (
	"net/http"
	"slices"
	"strings"

	"github.com/jacinththread/jacinththread/scheduler"
)

// membersAnswer lists the daemons that are not dead.
type membersAnswer struct {
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
	// Load is the number of requests the daemon holds.
	Load uint32 `json:"load"`
}

func (a *api) members(r *http.Request) (reply, error) {
	if _, err := a.reader(r); err != nil {
		return reply{}, err
	}
	out := membersAnswer{Members: []member{}}
	for _, d := range a.cfg.View.Daemons() {
		out.Members = append(out.Members, member{
			Name: d.Name, State: d.State.String(), Region: d.Region, Domain: d.Domain,
			PeerAddr: d.PeerAddr, CallerAddr: d.CallerAddr,
			BundleVersion: a.versionOn(d.Name, d.BundleVersion), Load: d.Load,
		})
	}
	return ok(out)
}

// serversAnswer lists the backend servers of all services.
type serversAnswer struct {
	Servers []server `json:"servers"`
}

type server struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Service string `json:"service"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	// Owner is empty if no owner's pattern matches the server.
	Owner   string `json:"owner"`
	Leaving bool   `json:"leaving"`
}

func (a *api) servers(r *http.Request) (reply, error) {
	if _, err := a.reader(r); err != nil {
		return reply{}, err
	}
	out := serversAnswer{Servers: []server{}}
	active := a.cfg.Source.Current()
	if active == nil {
		return ok(out)
	}
	for _, service := range active.Bundle.Services {
		for _, s := range a.cfg.View.Servers(service.Name) {
			v := server{Name: s.Name, Addr: s.Addr, Service: s.Service, Region: s.Region, Domain: s.Domain, Leaving: s.Leaving}
			if o := active.OwnerOf(s.Name); o != nil {
				v.Owner = o.Name
			}
			out.Servers = append(out.Servers, v)
		}
	}
	slices.SortStableFunc(out.Servers, func(x, y server) int { return strings.Compare(x.Name, y.Name) })
	return ok(out)
}

// queuesAnswer tells what waits and runs at this daemon's scheduler.
type queuesAnswer struct {
	Queues []scheduler.PoolSnapshot `json:"queues"`
}

func (a *api) queues(r *http.Request) (reply, error) {
	if _, err := a.reader(r); err != nil {
		return reply{}, err
	}
	return ok(queuesAnswer{Queues: append([]scheduler.PoolSnapshot{}, a.cfg.Queues.Snapshot()...)})
}
