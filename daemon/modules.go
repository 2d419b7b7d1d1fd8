package daemon

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/dispatch"
	"github.com/jacinththread/jacinththread/entrydir"
	"github.com/jacinththread/jacinththread/gateway"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/platform/httpstore"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/scheduler"
	"github.com/jacinththread/jacinththread/settings"
)

// Names of the kernel's services.
const (
	platformName    = "platform"
	peerName        = "peer"
	membershipName  = "membership"
	bundleName      = "bundle"
	schedulerName   = "scheduler"
	reservationName = "reservation"
	dispatchName    = "dispatch"
	claimsName      = "claims"
	gatewayName     = "gateway"
	callersName     = "callers.http"
	operatorsName   = "operators.http"
	reportName      = "membership.report"
)

// parts is what all modules share.
type parts struct {
	settings *settings.Settings
	log      *log.Logger
	metrics  metrics.Registry
	tracer   trace.Tracer
	// started is the wall clock at the start, in milliseconds. It names this
	// life of the daemon.
	started uint64
	// resolve finds the addresses of peers once the membership is built.
	resolve atomic.Pointer[func(string) (string, bool)]
}

// Modules returns the services of one daemon.
func Modules(s *settings.Settings, logger *log.Logger, tracer trace.Tracer) []kernel.Module {
	p := &parts{
		settings: s,
		log:      logger,
		metrics:  metrics.NewRegistry(),
		tracer:   tracer,
		started:  uint64(time.Now().UnixMilli()),
	}
	return []kernel.Module{
		{Name: platformName, New: p.newPlatform},
		{Name: peerName, New: p.newPeer},
		{Name: membershipName, Requires: []string{platformName, peerName}, New: p.newMembership},
		{Name: bundleName, Requires: []string{platformName, peerName, membershipName}, New: p.newBundle},
		{Name: schedulerName, Requires: []string{peerName, membershipName, bundleName}, New: p.newScheduler},
		{Name: reservationName, Requires: []string{peerName, membershipName, bundleName}, New: p.newReservation},
		{Name: dispatchName, New: p.newDispatch},
		{Name: claimsName, Requires: []string{platformName, membershipName, bundleName}, New: p.newClaims},
		{
			Name:     gatewayName,
			Requires: []string{membershipName, bundleName, schedulerName, reservationName, dispatchName, claimsName},
			New:      p.newGateway,
		},
		{Name: reportName, Requires: []string{membershipName, bundleName, gatewayName}, New: p.newReport},
		{
			Name:     operatorsName,
			Requires: []string{platformName, peerName, membershipName, bundleName, schedulerName},
			New:      p.newOperators,
		},
		{
			Name:     callersName,
			Requires: []string{membershipName, bundleName, gatewayName, operatorsName, reportName},
			New:      p.newCallers,
		},
	}
}

// passive is a part without a life cycle of its own.
type passive struct{}

// Start implements kernel.Service.
func (passive) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (passive) Stop(context.Context) error { return nil }

type platformService struct {
	passive
	*httpstore.Client
}

func (p *parts) newPlatform(kernel.Registry) (kernel.Service, error) {
	timeout := time.Duration(p.settings.Platform.TimeoutMs) * time.Millisecond
	client, err := httpstore.New(p.settings.Platform.URL, timeout, httpstore.WithMetrics(p.metrics))
	if err != nil {
		return nil, err
	}
	return platformService{Client: client}, nil
}

func (p *parts) newPeer(kernel.Registry) (kernel.Service, error) {
	keys, err := p.settings.Peers.SharedKeys()
	if err != nil {
		return nil, err
	}
	return peer.New(peer.Config{
		Self:    p.settings.Name,
		Listen:  p.settings.Listen.Peers,
		Keys:    keys,
		Resolve: p.resolvePeer,
		Log:     p.log,
		Metrics: p.metrics,
	})
}

func (p *parts) resolvePeer(name string) (string, bool) {
	f := p.resolve.Load()
	if f == nil {
		return "", false
	}
	return (*f)(name)
}

func (p *parts) newMembership(r kernel.Registry) (kernel.Service, error) {
	node, err := kernel.Get[*peer.Node](r, peerName)
	if err != nil {
		return nil, err
	}
	store, err := kernel.Get[platformService](r, platformName)
	if err != nil {
		return nil, err
	}
	s := p.settings
	m, err := membership.New(membership.Config{
		Self: membership.Daemon{
			Name:        s.Name,
			Incarnation: firstIncarnation(p.started),
			Region:      s.Region,
			Domain:      s.Domain,
			PeerAddr:    firstOf(s.Advertise.Peers, s.Listen.Peers),
			CallerAddr:  firstOf(s.Advertise.Callers, s.Listen.Callers),
		},
		Bus:           node,
		Hosts:         store,
		DaemonService: s.Platform.DaemonService,
		Seeds:         p.seeds(),
		Log:           p.log,
		Metrics:       p.metrics,
	})
	if err != nil {
		return nil, err
	}
	resolve := m.Resolve
	p.resolve.Store(&resolve)
	return m, nil
}

func (p *parts) seeds() []membership.Seed {
	var out []membership.Seed
	for _, seed := range p.settings.Peers.Seeds {
		out = append(out, membership.Seed{Name: seed.Name, Addr: seed.Addr})
	}
	return out
}

func firstOf(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (p *parts) newBundle(r kernel.Registry) (kernel.Service, error) {
	node, err := kernel.Get[*peer.Node](r, peerName)
	if err != nil {
		return nil, err
	}
	store, err := kernel.Get[platformService](r, platformName)
	if err != nil {
		return nil, err
	}
	m, err := kernel.Get[*membership.Service](r, membershipName)
	if err != nil {
		return nil, err
	}
	return bundle.NewActivator(bundle.Config{
		Store:   store,
		Bus:     node,
		Region:  p.settings.Region,
		Peers:   func() []bundle.Peer { return p.bundlePeers(m) },
		Log:     p.log,
		Metrics: p.metrics,
	}), nil
}

// bundlePeers lists the live daemons and the seeds that are not live.
func (p *parts) bundlePeers(m *membership.Service) []bundle.Peer {
	var out []bundle.Peer
	live := map[string]bool{}
	for _, d := range m.Daemons() {
		live[d.Name] = true
		out = append(out, bundle.Peer{Name: d.Name, Region: d.Region, Live: true})
	}
	for _, seed := range p.settings.Peers.Seeds {
		if !live[seed.Name] {
			out = append(out, bundle.Peer{Name: seed.Name, Region: p.settings.Region})
		}
	}
	return out
}

func (p *parts) newScheduler(r kernel.Registry) (kernel.Service, error) {
	c, err := p.core(r)
	if err != nil {
		return nil, err
	}
	return scheduler.New(scheduler.Config{
		Bus:        c.node,
		View:       c.view,
		Bundles:    c.bundles,
		QueueLimit: p.settings.Routing.QueueLimit,
		GrantFor:   time.Duration(p.settings.Routing.GrantMs) * time.Millisecond,
		Log:        p.log,
		Metrics:    p.metrics,
		Tracer:     p.tracer,
	}), nil
}

type reservationService struct {
	passive
	*reservation.Manager
}

func (p *parts) newReservation(r kernel.Registry) (kernel.Service, error) {
	c, err := p.core(r)
	if err != nil {
		return nil, err
	}
	return reservationService{Manager: reservation.NewManager(reservation.Config{
		Bus:     c.node,
		View:    c.view,
		Bundles: c.bundles,
		Count:   p.settings.Routing.Reservations,
		Seed:    p.seed(),
		Metrics: p.metrics,
	})}, nil
}

// seed differs between daemons and between lives of one daemon. Request ids
// start at it, so that a restarted gateway reuses none.
func (p *parts) seed() uint64 {
	h := fnv.New32a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(p.settings.Name))
	return p.started<<20 ^ uint64(h.Sum32())
}

// core is what scheduling services share.
type core struct {
	node    *peer.Node
	view    *membership.Service
	bundles *bundle.Activator
}

func (p *parts) core(r kernel.Registry) (c core, err error) {
	if c.node, err = kernel.Get[*peer.Node](r, peerName); err != nil {
		return c, err
	}
	if c.view, err = kernel.Get[*membership.Service](r, membershipName); err != nil {
		return c, err
	}
	c.bundles, err = kernel.Get[*bundle.Activator](r, bundleName)
	return c, err
}

type dispatchService struct {
	passive
	*dispatch.Client
}

func (p *parts) newDispatch(kernel.Registry) (kernel.Service, error) {
	return dispatchService{Client: dispatch.New(dispatch.Config{
		Silence: time.Duration(p.settings.Routing.SilenceMs) * time.Millisecond,
		Metrics: p.metrics,
	})}, nil
}

func (p *parts) newClaims(r kernel.Registry) (kernel.Service, error) {
	store, err := kernel.Get[platformService](r, platformName)
	if err != nil {
		return nil, err
	}
	m, err := kernel.Get[*membership.Service](r, membershipName)
	if err != nil {
		return nil, err
	}
	bundles, err := kernel.Get[*bundle.Activator](r, bundleName)
	if err != nil {
		return nil, err
	}
	o := owners{view: m, self: p.settings.Name}
	return claims.New(claims.Config{
		Store:      store,
		Owner:      ownerName(p.settings.Name, p.started),
		OwnerAlive: o.alive,
		Retention:  func() time.Duration { return retention(bundles) },
		Sweeps:     o.sweeps,
		Log:        p.log,
		Metrics:    p.metrics,
	}), nil
}

type gatewayService struct {
	passive
	*gateway.Gateway
}

func (p *parts) newGateway(r kernel.Registry) (kernel.Service, error) {
	m, err := kernel.Get[*membership.Service](r, membershipName)
	if err != nil {
		return nil, err
	}
	bundles, err := kernel.Get[*bundle.Activator](r, bundleName)
	if err != nil {
		return nil, err
	}
	manager, err := kernel.Get[reservationService](r, reservationName)
	if err != nil {
		return nil, err
	}
	backends, err := kernel.Get[dispatchService](r, dispatchName)
	if err != nil {
		return nil, err
	}
	claimer, err := kernel.Get[*claims.Service](r, claimsName)
	if err != nil {
		return nil, err
	}
	limits := p.settings.Callers
	ttl := time.Duration(limits.EntryTTLMs) * time.Millisecond
	return gatewayService{Gateway: gateway.New(gateway.Config{
		Bundles:      bundles,
		View:         m,
		Reservations: manager.Manager,
		Backends:     backends.Client,
		Claims:       claimer,
		Limits:       limits,
		Entries:      entrydir.New(m, limits.EntryCount, ttl),
		Log:          p.log,
		Metrics:      p.metrics,
		Tracer:       p.tracer,
	})}, nil
}
