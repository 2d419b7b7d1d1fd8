package entry

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/admission"
	"github.com/jacinththread/jacinththread/autoscale"
	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/budget"
	"github.com/jacinththread/jacinththread/election"
	"github.com/jacinththread/jacinththread/fairshare"
	"github.com/jacinththread/jacinththread/holdoff"
	"github.com/jacinththread/jacinththread/ingress"
	"github.com/jacinththread/jacinththread/internal/boottime"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/metering"
	"github.com/jacinththread/jacinththread/mirror"
	"github.com/jacinththread/jacinththread/notice"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/ratelimit"
	"github.com/jacinththread/jacinththread/reach"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/tunnel"
	"github.com/jacinththread/jacinththread/upstream"
)

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

	copy      *mirror.Copy
	exchange  *mirror.Exchange
	records   *records
	catalog   *backend.Catalog
	reach     *reach.Table
	connector *reach.Connector
	tunnels   *tunnel.Client
	carrier   *tunnel.Server
	pool      *upstream.Pool
	tracker   *placement.Tracker
	// shares is nil unless the settings ask for shares of customers.
	shares *fairshare.Ledger
	// waiters is nil unless the settings ask for shares of customers.
	waiters        *admission.Waiters
	budget         *budget.Budget
	rateLimits     *ratelimit.Limiter
	holdOffs       *holdoff.List
	notices        *notice.Receiver
	leavingServers *notice.LeavingServers
	quarantine     *quarantine.List
	members        *membership.Service
	// elections are those of the roles that the settings ask for. usage counts for the metering role and is
	// nil without it.
	elections []*election.Election
	usage     *metering.Counter
	// metering and autoscaler are nil unless the settings ask for them.
	metering   *metering.Leader
	autoscaler *autoscale.Controller
	fleet      fleet
	callers    *ingress.Server
	// resolve returns the peer address of a daemon. It is nil until the membership
	// service exists, which itself needs the peer service.
	resolve atomic.Pointer[func(string) (string, bool)]
	// node is nil until the peer service exists.
	node    atomic.Pointer[peer.Node]
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
	d.quarantine = quarantine.New(s.Peers, func(hash uint64) string { return d.fleet.Ring().Owner(hash) }, d.log, d.metrics)
	d.records = &records{decoder: a.Decoder, catalog: d.catalog, onConfig: d.announceConfig, onBlock: d.quarantine.Restore, keyed: s.CustomersRequired,
		invalid: metrics.GetOrRegisterCounter("records.invalid", d.metrics), log: d.log}
	d.copy = mirror.NewCopy(d.records.apply, d.records.isRenewal)
	if s.SharedCapacity {
		d.shares = fairshare.NewLedger()
		d.waiters = admission.NewWaiters(waitLimits(s), d.metrics)
	}
	d.tracker = placement.NewTracker(rand.Uint64(), d.shares, d.log)
	d.budget = budget.New(s.Budget, boottime.Now, d.log, d.metrics)
	d.rateLimits = ratelimit.New(s.Peers, d.log, d.metrics)
	d.holdOffs = holdoff.New(d.log, d.metrics)
	d.leavingServers = notice.NewLeavingServers(d.catalog)
	d.notices = notice.NewReceiver(d.rateLimits, d.holdOffs, d.leavingServers, d.log)
	d.newPaths()
	d.pool = upstream.NewPool(upstream.Config{
		Connector: d.connector, ParseNotice: d.parseNotice, Observe: d.notices.Receive, Metrics: d.metrics,
	})
	d.newElections()
	d.fleet.self = placement.Peer{Name: s.Peers, Domain: s.Domain}
	d.fleet.daemons = func() []membership.Daemon { return d.members.Daemons() }
	return d
}

// parseNotice returns what a server says of itself.
func (d *Daemon) parseNotice(status int, h http.Header) backend.Notice {
	return d.adapter.HeaderCodec.Notice(status, h)
}

// daemonCount returns an upper estimate of the number of daemons in the
// deployment: the largest of the numbers of members, registered daemons and seeds.
// A daemon that can reach no other one is more likely partitioned than the only
// one.
func (d *Daemon) daemonCount() int {
	return max(len(d.fleet.daemons()), int(d.registered.Load()), len(d.settings.Seeds))
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

// peers returns the names of the other daemons that are alive or suspected and in
// the local region.
func (d *Daemon) peers() []string {
	names := slices.Clone(d.members.Schedulers())
	return slices.DeleteFunc(names, func(n string) bool { return n == d.settings.Peers })
}
