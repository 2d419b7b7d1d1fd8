package membership

import (
	"errors"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/store"
)

// Default values of Config.
const (
	DefaultProbeInterval = time.Second
	DefaultProbeTimeout  = 500 * time.Millisecond
	DefaultSyncInterval  = 10 * time.Second
	DefaultForgetAfter   = 10 * time.Minute
	DefaultPollInterval  = time.Second
	DefaultPollTimeout   = 3 * time.Second
)

// Seed is a configured peer that the daemon contacts to join the others.
type Seed struct {
	Name string
	Addr string
}

// Config configures a Service.
type Config struct {
	// Self describes the local daemon: its name, place and addresses. A zero
	// incarnation is replaced by the wall clock in milliseconds.
	Self Daemon
	Bus  peer.Bus
	// Hosts is the platform's host list.
	Hosts store.HostList
	// DaemonService is the service name of the daemons in the host list. All
	// other hosts are backend servers.
	DaemonService string
	Seeds         []Seed
	// Log receives membership changes and failures; nil discards them.
	Log *log.Logger
	// Metrics receives the membership metrics; nil discards them.
	Metrics metrics.Registry

	// ProbeInterval is the time between two direct probes. A probe that is not
	// acknowledged within it, directly or indirectly, has failed.
	ProbeInterval time.Duration
	// ProbeTimeout is how long to wait for the ack of a direct probe before
	// sending indirect probes through other daemons.
	ProbeTimeout time.Duration
	// SyncInterval is the time between two full state exchanges.
	SyncInterval time.Duration
	// ForgetAfter is how long dead daemons and removed servers are remembered.
	ForgetAfter time.Duration
	// PollInterval is the time between two reads of the host list while the
	// local daemon is a poller.
	PollInterval time.Duration
	// PollTimeout bounds a read of the host list.
	PollTimeout time.Duration
	// RandomSeed makes the choice of peers reproducible in tests; zero selects
	// a random seed.
	RandomSeed uint64
}

func (c *Config) setDefaults() {
	if c.Log == nil {
		c.Log = log.New(io.Discard)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = uint64(time.Now().UnixMilli())
	}
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&c.ProbeInterval, DefaultProbeInterval},
		{&c.ProbeTimeout, DefaultProbeTimeout},
		{&c.SyncInterval, DefaultSyncInterval},
		{&c.ForgetAfter, DefaultForgetAfter},
		{&c.PollInterval, DefaultPollInterval},
		{&c.PollTimeout, DefaultPollTimeout},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
}

// check returns all errors of the configuration, joined.
func (c *Config) check() error {
	var errs []error
	if c.Self.Name == "" {
		errs = append(errs, errors.New("local daemon has no name"))
	}
	if c.Bus == nil {
		errs = append(errs, errors.New("membership has no peer bus"))
	}
	if c.Hosts == nil {
		errs = append(errs, errors.New("membership has no host list"))
	}
	return errors.Join(errs...)
}
