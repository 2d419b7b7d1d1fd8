package operator

import (
	"net/http"
	"slices"
	"strings"

	"github.com/jacinththread/jacinththread/operator/operatorapi"
	"github.com/jacinththread/jacinththread/scheduler"
)

func (a *api) members(r *http.Request) (response, error) {
	if _, err := a.authorizeRead(r); err != nil {
		return response{}, err
	}
	out := operatorapi.Members{Members: []operatorapi.Member{}}
	for _, d := range a.cfg.View.Daemons() {
		out.Members = append(out.Members, operatorapi.Member{
			Name: d.Name, State: d.State.String(), Region: d.Region, Domain: d.Domain,
			PeerAddr: d.PeerAddr, CallerAddr: d.CallerAddr,
			BundleVersion: a.versionInForceOn(d.Name, d.BundleVersion), Load: d.Load,
		})
	}
	return ok(out)
}

func (a *api) servers(r *http.Request) (response, error) {
	if _, err := a.authorizeRead(r); err != nil {
		return response{}, err
	}
	out := operatorapi.Servers{Servers: []operatorapi.Server{}}
	active := a.cfg.Source.Current()
	if active == nil {
		return ok(out)
	}
	for _, service := range active.Bundle.Services {
		for _, s := range a.cfg.View.Servers(service.Name) {
			v := operatorapi.Server{Name: s.Name, Addr: s.Addr, Service: s.Service, Region: s.Region, Domain: s.Domain, Leaving: s.Leaving}
			if o := active.OwnerOf(s.Name); o != nil {
				v.Owner = o.Name
			}
			out.Servers = append(out.Servers, v)
		}
	}
	slices.SortStableFunc(out.Servers, func(x, y operatorapi.Server) int { return strings.Compare(x.Name, y.Name) })
	return ok(out)
}

func (a *api) queues(r *http.Request) (response, error) {
	if _, err := a.authorizeRead(r); err != nil {
		return response{}, err
	}
	return ok(operatorapi.Queues{Queues: append([]scheduler.PoolSnapshot{}, a.cfg.Queues.Snapshot()...)})
}
