package entry

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/jacinththread/jacinththread/admission"
	"github.com/jacinththread/jacinththread/forward"
	"github.com/jacinththread/jacinththread/holdoff"
	"github.com/jacinththread/jacinththread/ingress"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/mirror"
	"github.com/jacinththread/jacinththread/notice"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/ratelimit"
	"github.com/jacinththread/jacinththread/resume"
	"github.com/jacinththread/jacinththread/slotshare"
	"github.com/jacinththread/jacinththread/telemetry"
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
	trialsName       = "reach.trials"
	limitsName       = "ratelimit.exchange"
	leavingName      = "notice.exchange"
	quarantineName   = "quarantine.exchange"
	blocksName       = "quarantine.store"
	meteringName     = "metering"
	usageName        = "metering.sender"
	autoscaleName    = "autoscale"
	electionsName    = "election"
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
	// reservedDescriptors is the number of file descriptors reserved for files and
	// for links between daemons.
	reservedDescriptors = 700
	// bodyMemoryRatio is the fraction of the available memory that buffered
	// request bodies may use.
	bodyMemoryRatio = 0.2
	// waitingMemoryRatio is the fraction of the available memory that bodies of requests that wait for slots may
	// use, and maxWaiting the largest number of such requests.
	waitingMemoryRatio = 0.1
	maxWaiting         = 256
)

// peerKey is the shared key of connections between daemons. It is not a secret:
// the platform provides none to its processes, and its network restricts access
// to the peer port.
var peerKey = []byte("jacinththread peers of a deployment")

// Modules returns the kernel modules of the daemon.
func (d *Daemon) Modules() []kernel.Module {
	modules := []kernel.Module{
		{Name: peerName, New: d.newPeer},
		{Name: membershipName, Requires: []string{peerName}, New: d.newMembership},
		{Name: exchangeName, Requires: []string{peerName, membershipName}, New: d.newExchange},
		{Name: loadExchangeName, Requires: []string{peerName, membershipName}, New: d.newLoadExchange},
		{Name: limitsName, Requires: []string{peerName, membershipName}, New: d.newLimitExchange},
		{Name: leavingName, Requires: []string{peerName, membershipName}, New: d.newLeavingExchange},
		{Name: quarantineName, Requires: []string{peerName, membershipName}, New: d.newQuarantineExchange},
		{Name: blocksName, Requires: []string{membershipName}, New: d.newBlockKeeper},
		{Name: followerName, Requires: []string{membershipName, exchangeName}, New: d.newFollower},
		{Name: registerName, New: d.newRegistration},
		{Name: trialsName, Requires: []string{membershipName}, New: d.newTrials},
		{Name: upkeepName, Requires: []string{membershipName}, New: d.newUpkeep},
		{Name: directoryName, Requires: []string{membershipName}, New: d.newDirectory},
		{Name: readyName, New: d.newReady},
		{Name: callersName, Requires: []string{peerName, membershipName, followerName}, New: d.newCallers},
	}
	modules = append(modules, d.leaderModules()...)
	if d.settings.Metrics != "" {
		modules = append(modules, kernel.Module{Name: metricsName, New: d.newMetrics})
	}
	return modules
}

// waitLimits bounds the requests that wait for slots.
func waitLimits(s *Settings) admission.Limits {
	return admission.Limits{Requests: maxWaiting, Bytes: int64(waitingMemoryRatio * float64(s.MemoryBytes))}
}

func (d *Daemon) newPeer(kernel.Registry) (kernel.Service, error) {
	node, err := peer.New(peer.Config{
		Self: d.settings.Peers, Listen: d.settings.Peers, Keys: [][]byte{peerKey},
		Resolve: func(name string) (string, bool) {
			if f := d.resolve.Load(); f != nil {
				return (*f)(name)
			}
			return "", false
		},
		Heartbeat: heartbeatInterval, Log: d.log, Metrics: d.metrics,
	})
	if err != nil {
		return nil, err
	}
	node.HandleStreams(d.carrier.Serve)
	holdoff.NewExchange(d.holdOffs, node, d.carrier.Users, func() []string { return d.liveFleet().OtherNames() }, d.log)
	d.node.Store(node)
	return node, nil
}

// peerNode returns the service that sends messages to other daemons.
func peerNode(r kernel.Registry) (*peer.Node, error) { return kernel.Get[*peer.Node](r, peerName) }

func (d *Daemon) newMembership(r kernel.Registry) (kernel.Service, error) {
	node, err := peerNode(r)
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
	node, err := peerNode(r)
	if err != nil {
		return nil, err
	}
	d.exchange = mirror.NewExchange(d.copy, node, d.peers, d.fleet.Watchers, d.log, d.metrics)
	return d.exchange, nil
}

func (d *Daemon) newLoadExchange(r kernel.Registry) (kernel.Service, error) {
	node, err := peerNode(r)
	if err != nil {
		return nil, err
	}
	return placement.NewLoadExchange(d.tracker, node, d.fleet.Live, d.log, d.metrics), nil
}

func (d *Daemon) newLimitExchange(r kernel.Registry) (kernel.Service, error) {
	node, err := peerNode(r)
	if err != nil {
		return nil, err
	}
	return ratelimit.NewExchange(d.rateLimits, node, d.fleet.OtherNames, d.log, d.metrics), nil
}

func (d *Daemon) newLeavingExchange(r kernel.Registry) (kernel.Service, error) {
	node, err := peerNode(r)
	if err != nil {
		return nil, err
	}
	return notice.NewLeavingExchange(d.leavingServers, node, d.fleet.OtherNames, d.log, d.metrics), nil
}

func (d *Daemon) newQuarantineExchange(r kernel.Registry) (kernel.Service, error) {
	node, err := peerNode(r)
	if err != nil {
		return nil, err
	}
	return quarantine.NewExchange(d.quarantine, node, d.fleet.OtherNames, d.log, d.metrics), nil
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
	d.viewRoutes(router)
	return newListener(d.settings.Metrics, http.Handler(router), d.log), nil
}

func (d *Daemon) newCallers(r kernel.Registry) (kernel.Service, error) {
	node, err := peerNode(r)
	if err != nil {
		return nil, err
	}
	f := forward.New(forward.Config{
		Table: d.records.Table, Catalog: d.catalog, Pool: d.pool, Tracker: d.tracker, Budget: d.budget, Limits: d.rateLimits, HoldOffs: d.holdOffs, Notices: d.notices, SlotShares: slotshare.New(d.settings.Peers, d.fleet.Ring), Quarantine: d.quarantine,
		Waiters:     d.waiters,
		Usage:       d.usage,
		Streams:     resume.New(node, d.fleet.Ring, d.log, d.metrics),
		HeaderCodec: d.adapter.HeaderCodec, Domain: d.settings.Domain, CatalogFreshness: d.catalogFreshness, Log: d.log, Metrics: d.metrics, Tracer: d.tracer,
	})
	d.callers = ingress.New(ingress.Config{
		Addr: d.settings.Callers, Handler: f.Serve, Limits: d.limits,
		MaxConns:         max(1, (d.settings.Descriptors-reservedDescriptors)/2-d.settings.tunnelLimit()),
		MaxHeldBodyBytes: int64(bodyMemoryRatio * float64(d.settings.MemoryBytes)),
		Log:              d.log, Metrics: d.metrics,
	})
	return d.callers, nil
}
