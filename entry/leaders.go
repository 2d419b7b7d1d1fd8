package entry

import (
	"time"

	"github.com/jacinththread/jacinththread/autoscale"
	"github.com/jacinththread/jacinththread/election"
	"github.com/jacinththread/jacinththread/internal/boottime"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/metering"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/store"
)

// maxRecordsAge is the age of the local records from which a daemon doesn't stand for a role: it would not
// know who leads.
const maxRecordsAge = 2 * time.Second

// newElections creates the elections of the roles that the settings ask for, and the counter of usage.
func (d *Daemon) newElections() {
	if d.settings.Usage.Length > 0 {
		d.usage = d.settings.Usage.NewCounter(boottime.Now)
		d.elections = append(d.elections, d.newElection(metering.Role))
	}
	if d.settings.Autoscaling {
		d.elections = append(d.elections, d.newElection(autoscale.Role))
	}
}

func (d *Daemon) newElection(role string) *election.Election {
	return election.New(election.Config{
		Role: role, Name: d.settings.Name, Addr: d.settings.Peers, Lease: d.settings.LeaderLease, Store: d.adapter.Store,
		View: func() election.View { return d.leaderView(role) }, Candidates: d.liveDaemons,
		Clock: boottime.Now, Log: d.log, Metrics: d.metrics,
	})
}

// leaderView returns what the local records say of a role.
func (d *Daemon) leaderView(role string) election.View {
	entry, exists, status := d.copy.Record(election.RecordKey(role))
	return election.View{Entry: entry, Exists: exists, At: status.Revision, Current: status.Revision > 0 && time.Since(status.Updated) < maxRecordsAge}
}

// liveDaemons returns the peer addresses of the live daemons, including the local one.
func (d *Daemon) liveDaemons() []string { return append(d.fleet.OtherNames(), d.settings.Peers) }

// electionOf returns the election of a role, or nil.
func (d *Daemon) electionOf(role string) *election.Election {
	for _, e := range d.elections {
		if e.Role() == role {
			return e
		}
	}
	return nil
}

// leaderModules returns the modules of the roles that the settings ask for.
func (d *Daemon) leaderModules() []kernel.Module {
	var modules []kernel.Module
	for _, e := range d.elections {
		modules = append(modules, kernel.Module{
			Name: electionsName + "." + e.Role(), Requires: []string{membershipName, followerName},
			New: func(kernel.Registry) (kernel.Service, error) { return e, nil },
		})
	}
	if d.usage != nil {
		modules = append(modules,
			kernel.Module{Name: meteringName, Requires: []string{peerName, membershipName}, New: d.newMetering},
			kernel.Module{Name: usageName, Requires: []string{peerName, membershipName}, New: d.newUsageSender})
	}
	if d.settings.Autoscaling {
		modules = append(modules, kernel.Module{Name: autoscaleName, Requires: []string{membershipName}, New: d.newAutoscaler})
	}
	return modules
}

func (d *Daemon) newMetering(r kernel.Registry) (kernel.Service, error) {
	node, err := peerNode(r)
	if err != nil {
		return nil, err
	}
	d.metering = metering.NewLeader(metering.Config{
		Windows: d.settings.Usage, Store: d.adapter.Store, Reporter: d.adapter.Usage, Term: d.electionOf(metering.Role).Term,
		Daemons: d.liveDaemons, Clock: boottime.Now, Bus: node, Log: d.log, Metrics: d.metrics,
	})
	return d.metering, nil
}

func (d *Daemon) newUsageSender(r kernel.Registry) (kernel.Service, error) {
	node, err := peerNode(r)
	if err != nil {
		return nil, err
	}
	leader := func() (string, store.Revision, bool) {
		record, token, ok := d.electionOf(metering.Role).Leader()
		return record.Addr, token, ok
	}
	return metering.NewSender(d.usage, node, leader, d.daemonCount, d.log, d.metrics), nil
}

func (d *Daemon) newAutoscaler(kernel.Registry) (kernel.Service, error) {
	d.autoscaler = autoscale.NewController(autoscale.Config{
		Services: d.scaledServices, Servers: d.catalog.Servers, Use: d.serviceUse, Complete: d.knowsMostDaemons,
		Orderer: d.adapter.Orders, Term: d.electionOf(autoscale.Role).Term, Clock: boottime.Now, Log: d.log, Metrics: d.metrics,
	})
	return d.autoscaler, nil
}

// scaledServices returns the services of the configuration whose servers may be ordered.
func (d *Daemon) scaledServices() []autoscale.Service {
	table := d.records.Table()
	if table == nil {
		return nil
	}
	var out []autoscale.Service
	for _, s := range table.Services() {
		if s.Scaling != nil {
			out = append(out, scaledService(s))
		}
	}
	return out
}

func scaledService(s *route.Service) autoscale.Service {
	return autoscale.Service{
		Name: s.Name, Boot: s.Scaling.Boot, Prices: s.Scaling.Prices,
		Bounds: autoscale.Bounds{Min: s.Scaling.Min, Max: s.Scaling.Max, ReclaimablePrice: s.Scaling.ReclaimablePrice},
	}
}

// serviceUse returns what the servers of a service do, over all daemons.
func (d *Daemon) serviceUse(service string) autoscale.Use {
	ready := d.catalog.Ready(service)
	load := d.tracker.TotalLoad(ready)
	use := autoscale.Use{Servers: len(ready), Requests: load.Requests, MemoryUsed: load.MemoryTokens, Unread: load.Unread}
	for _, s := range ready {
		use.Slots += float64(s.Slots)
	}
	table := d.records.Table()
	if s := table.Service(service); s != nil && s.Engine != nil {
		use.Memory = float64(s.Engine.MemoryTokens * len(ready))
	}
	return use
}

// knowsMostDaemons reports whether over half of the registered daemons are known to be alive. Otherwise the loads that
// are known may be those of a small part.
func (d *Daemon) knowsMostDaemons() bool {
	return 2*len(d.liveDaemons()) > int(d.registered.Load())
}
