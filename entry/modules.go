package entry

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/budget"
	"github.com/jacinththread/jacinththread/forward"
	"github.com/jacinththread/jacinththread/ingress"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/mirror"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/ratelimit"
	"github.com/jacinththread/jacinththread/resume"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/telemetry"
	"github.com/jacinththread/jacinththread/upstream"
)

// Names under which the services are registered with the kernel.
const (
	peerName         = "peer"
	membershipName   = "membership"
	exchangeName     = "mirror.exchange"
	loadExchangeName = "placement.sharing"
	followerName     = "mirror.follower"
	upkeepName       = "upkeep"
	readyName        = "ready.http"
	directoryName    = "directory.http"
	metricsName      = "metrics.http"
	callersName      = "callers.http"
	registerName     = "registration"
	limitsName       = "ratelimit.exchange"
)

const (
	// probeInterval is the time between two probes of other daemons. In a fleet
	// of a few daemons, one that stops responding is suspected within about two
	// intervals, before callers' cached directory responses expire.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 120 * time.Millisecond
	syncInterval  = 2 * time.Second
	pollInterval  = time.Second
	// forgetAfter is how long dead daemons stay in the member list.
	forgetAfter = time.Minute
	// heartbeatInterval is how often links to peers are checked. A peer from which
	// replies are missing for longer is sent a heartbeat.
	heartbeatInterval = 400 * time.Millisecond
	// reservedDescriptors is the number of file descriptors reserved for files
	// and for connections between daemons.
	reservedDescriptors = 700
	// bodyMemoryRatio is the fraction of the available memory that buffered
	// request bodies may use.
	bodyMemoryRatio = 0.2
)

// peerKey is the shared key of connections between daemons. It is not a secret:
// the platform provides none to its processes, and its network restricts access
// to the peer port.
var peerKey = []byte("jacinththread peers of a deployment")

// Daemon is an entry daemon. It forwards callers' requests to backend servers
// and shares its state with the other daemons of the deployment.
type Daemon struct {
	// settings are the settings at startup.
	settings *Settings
	// current holds the most recently loaded settings.
	current atomic.Pointer[Settings]
	adapter Adapter
	log     *log.Logger
	metrics metrics.Registry
	tracer  trace.Tracer

	copy       *mirror.Copy
	exchange   *mirror.Exchange
	records    *records
	catalog    *backend.Catalog
	pool       *upstream.Pool
	tracker    *placement.Tracker
	budget     *budget.Budget
	rateLimits *ratelimit.Limiter
	members    *membership.Service
	fleet      fleet
	callers    *ingress.Server
	// resolve returns the peer address of a daemon. It is nil until the membership
	// service exists, which itself needs the peer service.
	resolve atomic.Pointer[func(string) (string, bool)]
	leaving atomic.Bool
	// registered is the number of daemons that have a record in the store.
	registered atomic.Int64
}

// Instruments holds the logger, metrics registry and tracer of a daemon.
type Instruments struct {
	Log     *log.Logger
	Metrics metrics.Registry
	Tracer  trace.Tracer
}

// New returns a daemon that has not been started.
func New(s *Settings, a Adapter, i Instruments) *Daemon {
	d := &Daemon{settings: s, adapter: a, log: i.Log, metrics: i.Metrics, tracer: i.Tracer}
	d.current.Store(s)
	d.catalog = backend.NewCatalog(d.log)
	d.records = &records{decoder: a.Decoder, catalog: d.catalog, onConfig: d.announceConfig, log: d.log}
	d.copy = mirror.NewCopy(d.records.apply, d.records.isRenewal)
	d.pool = upstream.NewPool(d.metrics)
	d.tracker = placement.NewTracker(rand.Uint64(), d.log)
	d.budget = budget.New(s.Budget, d.daemonCount)
	d.rateLimits = ratelimit.New(s.Peers, d.log, d.metrics)
	d.fleet.self = placement.Peer{Name: s.Peers, Domain: s.Domain}
	d.fleet.daemons = func() []membership.Daemon { return d.members.Daemons() }
	return d
}

// daemonCount returns an upper estimate of the number of daemons in the
// deployment: the largest of the numbers of members, registered daemons and seeds.
// A daemon that can reach no other one is more likely partitioned than the only
// one.
func (d *Daemon) daemonCount() int {
	return max(len(d.members.Daemons()), int(d.registered.Load()), len(d.settings.Seeds))
}

// Modules returns the kernel modules of the daemon.
func (d *Daemon) Modules() []kernel.Module {
	modules := []kernel.Module{
		{Name: peerName, New: d.newPeer},
		{Name: membershipName, Requires: []string{peerName}, New: d.newMembership},
		{Name: exchangeName, Requires: []string{peerName, membershipName}, New: d.newExchange},
		{Name: loadExchangeName, Requires: []string{peerName, membershipName}, New: d.newLoadExchange},
		{Name: limitsName, Requires: []string{peerName, membershipName}, New: d.newLimitExchange},
		{Name: followerName, Requires: []string{membershipName, exchangeName}, New: d.newFollower},
		{Name: registerName, New: d.newRegistration},
		{Name: upkeepName, Requires: []string{membershipName}, New: d.newUpkeep},
		{Name: directoryName, Requires: []string{membershipName}, New: d.newDirectory},
		{Name: readyName, New: d.newReady},
		{Name: callersName, Requires: []string{peerName, membershipName, followerName}, New: d.newCallers},
	}
	if d.settings.Metrics != "" {
		modules = append(modules, kernel.Module{Name: metricsName, New: d.newMetrics})
	}
	return modules
}

func (d *Daemon) newPeer(kernel.Registry) (kernel.Service, error) {
	return peer.New(peer.Config{
		Self: d.settings.Peers, Listen: d.settings.Peers, Keys: [][]byte{peerKey},
		Resolve: func(name string) (string, bool) {
			if f := d.resolve.Load(); f != nil {
				return (*f)(name)
			}
			return "", false
		},
		Heartbeat: heartbeatInterval, Log: d.log, Metrics: d.metrics,
	})
}

func (d *Daemon) newMembership(r kernel.Registry) (kernel.Service, error) {
	node, err := kernel.Get[*peer.Node](r, peerName)
	if err != nil {
		return nil, err
	}
	var seeds []membership.Seed
	for _, addr := range d.settings.Seeds {
		seeds = append(seeds, membership.Seed{Name: addr, Addr: addr})
	}
	d.members, err = membership.New(membership.Config{
		Self: membership.Daemon{
			Name: d.settings.Peers, Region: d.settings.Region, Domain: d.settings.Domain,
			PeerAddr: d.settings.Peers, CallerAddr: d.settings.Callers,
		},
		Bus: node, Hosts: daemonHosts{copy: d.copy, self: d.settings.Peers}, DaemonService: daemonService, Seeds: seeds,
		Log: d.log, Metrics: d.metrics,
		ProbeInterval: probeInterval, ProbeTimeout: probeTimeout, SyncInterval: syncInterval,
		ForgetAfter: forgetAfter, PollInterval: pollInterval,
	})
	if err != nil {
		return nil, err
	}
	resolve := d.members.Resolve
	d.resolve.Store(&resolve)
	return d.members, nil
}

func (d *Daemon) newExchange(r kernel.Registry) (kernel.Service, error) {
	node, err := kernel.Get[*peer.Node](r, peerName)
	if err != nil {
		return nil, err
	}
	d.exchange = mirror.NewExchange(d.copy, node, d.peers, d.fleet.Watchers, d.log, d.metrics)
	return d.exchange, nil
}

func (d *Daemon) newLoadExchange(r kernel.Registry) (kernel.Service, error) {
	node, err := kernel.Get[*peer.Node](r, peerName)
	if err != nil {
		return nil, err
	}
	return placement.NewLoadExchange(d.tracker, node, d.fleet.Live, d.log, d.metrics), nil
}

func (d *Daemon) newLimitExchange(r kernel.Registry) (kernel.Service, error) {
	node, err := kernel.Get[*peer.Node](r, peerName)
	if err != nil {
		return nil, err
	}
	return ratelimit.NewExchange(d.rateLimits, node, d.fleet.OtherNames, d.log, d.metrics), nil
}

// peers returns the names of the other daemons that are alive or suspected and in
// the local region.
func (d *Daemon) peers() []string {
	names := slices.Clone(d.members.Schedulers())
	return slices.DeleteFunc(names, func(n string) bool { return n == d.settings.Peers })
}

func (d *Daemon) newFollower(kernel.Registry) (kernel.Service, error) {
	return mirror.NewFollower(d.copy, d.adapter.Source, d.fleet.Watchers, d.exchange.Announce, d.log, d.metrics), nil
}

func (d *Daemon) newRegistration(kernel.Registry) (kernel.Service, error) {
	return newRegistration(d.adapter.Registry, d.settings.Peers, d.log), nil
}

func (d *Daemon) newDirectory(kernel.Registry) (kernel.Service, error) {
	ttl := min(directoryTTL, d.settings.MaxDirectoryTTL)
	return newListener(d.settings.Directory, directoryHandler(&d.adapter, d.members, ttl, d.log), d.log), nil
}

func (d *Daemon) newReady(kernel.Registry) (kernel.Service, error) {
	return newListener(d.settings.Ready, readyHandler(&d.adapter, d.ready), d.log), nil
}

func (d *Daemon) newMetrics(kernel.Registry) (kernel.Service, error) {
	router := mux.NewRouter()
	telemetry.Routes(router, d.metrics, d.ready)
	return newListener(d.settings.Metrics, http.Handler(router), d.log), nil
}

var (
	errLeaving  = errors.New("daemon is stopping")
	errNoConfig = errors.New("no configuration is known")
)

// ready returns nil if the daemon can serve callers, otherwise the reason why it
// cannot.
func (d *Daemon) ready() error {
	if d.leaving.Load() {
		return errLeaving
	}
	if d.records.Table() == nil {
		return errNoConfig
	}
	return nil
}

// announceConfig announces to the other daemons which configuration version is in
// force here.
func (d *Daemon) announceConfig(v route.Version) {
	if d.members != nil {
		d.members.SetBundleVersion(uint64(v))
	}
}

func (d *Daemon) newCallers(r kernel.Registry) (kernel.Service, error) {
	node, err := kernel.Get[*peer.Node](r, peerName)
	if err != nil {
		return nil, err
	}
	f := forward.New(forward.Config{
		Table: d.records.Table, Catalog: d.catalog, Pool: d.pool, Tracker: d.tracker, Budget: d.budget, Limits: d.rateLimits,
		Streams:     resume.New(node, d.fleet.Ring, d.log, d.metrics),
		HeaderCodec: d.adapter.HeaderCodec, Domain: d.settings.Domain, CatalogFreshness: d.catalogFreshness, Log: d.log, Metrics: d.metrics, Tracer: d.tracer,
	})
	d.callers = ingress.New(ingress.Config{
		Addr: d.settings.Callers, Handler: f.Serve, Limits: d.limits,
		MaxConns:         max(1, (d.settings.Descriptors-reservedDescriptors)/2),
		MaxHeldBodyBytes: int64(bodyMemoryRatio * float64(d.settings.MemoryBytes)),
		Log:              d.log, Metrics: d.metrics,
	})
	return d.callers, nil
}

// catalogFreshness returns the store revision up to which the local records are
// complete and the time since they were last known to be current.
func (d *Daemon) catalogFreshness() (revision int64, age time.Duration) {
	status := d.copy.Status()
	return int64(status.Revision), time.Since(status.Updated)
}

// limits returns the limits of the configuration in force, or the zero value,
// which stands for the defaults, if there is none.
func (d *Daemon) limits() ingress.Limits {
	t := d.records.Table()
	if t == nil {
		return ingress.Limits{}
	}
	l := t.Limits()
	return ingress.Limits{HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout}
}
