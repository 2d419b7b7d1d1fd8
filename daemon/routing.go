package daemon

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/dispatch"
	"github.com/jacinththread/jacinththread/entrydir"
	"github.com/jacinththread/jacinththread/gateway"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/scheduler"
)

func (b *builder) newBundle(r kernel.Registry) (kernel.Service, error) {
	f := serviceFinder{registry: r}
	node := find[*peer.Node](&f, peerName)
	store := find[platformService](&f, platformName)
	m := find[*membership.Service](&f, membershipName)
	if f.err != nil {
		return nil, f.err
	}
	return bundle.NewActivator(bundle.Config{
		Store:   store,
		Bus:     node,
		Region:  b.settings.Region,
		Peers:   func() []bundle.Peer { return bundlePeers(m.Daemons(), m.Listed(), b.seedNames()) },
		Log:     b.log,
		Metrics: b.metrics,
	}), nil
}

// seedNames returns the names of the configured seeds.
func (b *builder) seedNames() []string {
	var names []string
	for _, seed := range b.settings.Peers.Seeds {
		names = append(names, seed.Name)
	}
	return names
}

// bundlePeers returns the live daemons, followed by the daemons of the host
// list that are not live. The seeds replace the host list only until it has
// been read: they may name hosts that no longer exist, and a majority that
// includes those might never be reached.
func bundlePeers(live []membership.Daemon, listed, seeds []string) []bundle.Peer {
	if len(listed) == 0 {
		listed = seeds
	}
	var out []bundle.Peer
	known := map[string]bool{}
	for _, d := range live {
		known[d.Name] = true
		out = append(out, bundle.Peer{Name: d.Name, Region: d.Region, Live: true})
	}
	for _, name := range listed {
		if !known[name] {
			out = append(out, bundle.Peer{Name: name})
		}
	}
	return out
}

func (b *builder) newScheduler(r kernel.Registry) (kernel.Service, error) {
	f := serviceFinder{registry: r}
	c := findSharedServices(&f)
	if f.err != nil {
		return nil, f.err
	}
	return scheduler.New(scheduler.Config{
		Bus:           c.node,
		View:          c.view,
		Bundles:       c.bundles,
		QueueLimit:    b.settings.Routing.QueueLimit,
		GrantValidity: time.Duration(b.settings.Routing.GrantMs) * time.Millisecond,
		Log:           b.log,
		Metrics:       b.metrics,
		Tracer:        b.tracer,
	}), nil
}

type reservationService struct {
	noLifecycle
	*reservation.Manager
}

func (b *builder) newReservation(r kernel.Registry) (kernel.Service, error) {
	f := serviceFinder{registry: r}
	c := findSharedServices(&f)
	if f.err != nil {
		return nil, f.err
	}
	return reservationService{Manager: reservation.NewManager(reservation.Config{
		Bus:                  c.node,
		View:                 c.view,
		Bundles:              c.bundles,
		SchedulersPerRequest: b.settings.Routing.Reservations,
		Seed:                 b.reservationSeed(),
		Metrics:              b.metrics,
	})}, nil
}

// reservationSeed returns the seed of the reservation manager, which also
// numbers requests from it. The seed differs between daemons and between runs of
// one daemon, so that a restarted gateway does not reuse request ids.
func (b *builder) reservationSeed() uint64 {
	h := fnv.New32a()
	// Write of a hash.Hash never returns an error.
	_, _ = h.Write([]byte(b.settings.Name))
	return b.started<<20 ^ uint64(h.Sum32())
}

// sharedServices holds the services that scheduling and the operator API depend
// on.
type sharedServices struct {
	node    *peer.Node
	view    *membership.Service
	bundles *bundle.Activator
}

// findSharedServices looks up the services in sharedServices.
func findSharedServices(f *serviceFinder) sharedServices {
	return sharedServices{
		node:    find[*peer.Node](f, peerName),
		view:    find[*membership.Service](f, membershipName),
		bundles: find[*bundle.Activator](f, bundleName),
	}
}

type dispatchService struct {
	noLifecycle
	*dispatch.Client
}

// Stop implements kernel.Service.
func (s dispatchService) Stop(context.Context) error {
	s.Close()
	return nil
}

func (b *builder) newDispatch(kernel.Registry) (kernel.Service, error) {
	return dispatchService{Client: dispatch.New(dispatch.Config{
		MaxProgressTimeout: time.Duration(b.settings.Routing.SilenceMs) * time.Millisecond,
		Metrics:            b.metrics,
	})}, nil
}

func (b *builder) newClaims(r kernel.Registry) (kernel.Service, error) {
	f := serviceFinder{registry: r}
	store := find[platformService](&f, platformName)
	m := find[*membership.Service](&f, membershipName)
	bundles := find[*bundle.Activator](&f, bundleName)
	if f.err != nil {
		return nil, f.err
	}
	o := ownerChecker{view: m, self: b.settings.Name}
	return claims.New(claims.Config{
		Store:       store,
		Owner:       ownerName(b.settings.Name, b.started),
		OwnerAlive:  o.alive,
		Retention:   func() time.Duration { return retention(bundles) },
		SweepsShard: o.sweepsShard,
		Log:         b.log,
		Metrics:     b.metrics,
	}), nil
}

type gatewayService struct {
	noLifecycle
	*gateway.Gateway
}

func (b *builder) newGateway(r kernel.Registry) (kernel.Service, error) {
	f := serviceFinder{registry: r}
	m := find[*membership.Service](&f, membershipName)
	bundles := find[*bundle.Activator](&f, bundleName)
	manager := find[reservationService](&f, reservationName)
	backends := find[dispatchService](&f, dispatchName)
	claimer := find[*claims.Service](&f, claimsName)
	withheld := find[*quarantineService](&f, quarantineName)
	if f.err != nil {
		return nil, f.err
	}
	limits := b.settings.Callers
	ttl := time.Duration(limits.EntryTTLMs) * time.Millisecond
	return gatewayService{Gateway: gateway.New(gateway.Config{
		Bundles:        bundles,
		View:           m,
		Reservations:   manager.Manager,
		Backends:       backends.Client,
		Claims:         claimer,
		Quarantine:     withheld.list,
		Limits:         limits,
		EntryDirectory: entrydir.New(m, limits.EntryCount, ttl),
		Log:            b.log,
		Metrics:        b.metrics,
		Tracer:         b.tracer,
	})}, nil
}
