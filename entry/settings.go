// Package entry runs the daemon of an entry host in front of a platform: it
// follows the platform's records, finds the other daemons and forwards callers'
// requests. What is particular to a platform comes from an Adapter.
package entry

import (
	"context"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/budget"
	"github.com/jacinththread/jacinththread/forward"
	"github.com/jacinththread/jacinththread/mirror"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/store"
)

// Settings are the settings of one daemon.
type Settings struct {
	Name   string
	IP     string
	Domain string
	Region string
	// Seeds are the peer addresses of daemons to contact first.
	Seeds []string

	// Listening addresses.
	Callers   string
	Ready     string
	Peers     string
	Directory string
	// Metrics is empty if metrics are not served.
	Metrics string

	Cores       int
	MemoryBytes int64
	Descriptors int

	// Grace is the time from the signal to stop to the end of the process.
	Grace time.Duration
	// MaxEntryTTL is the longest time that callers may keep a directory answer.
	MaxEntryTTL time.Duration
	Budget      budget.Limit
}

// Keys of the records that the daemon follows.
const (
	// ConfigKey holds the configuration in force.
	ConfigKey = "config"
	// ServersPrefix precedes the IDs of backend servers.
	ServersPrefix = "servers/"
	// DaemonsPrefix precedes the peer addresses of daemons.
	DaemonsPrefix = "daemons/"
)

// Decoder reads the values of records.
type Decoder interface {
	Config(e store.Entry) (*route.Config, error)
	Server(id string, e store.Entry) (backend.Server, error)
}

// Registry keeps the daemon's own record in the store.
type Registry interface {
	// Register writes the record of a daemon under a new lease.
	Register(ctx context.Context, name string, ttl time.Duration) (store.Lease, error)
	// Keep renews a lease. It returns store.ErrNotFound if the lease has ended.
	Keep(ctx context.Context, lease store.Lease) error
	// End ends a lease, which deletes the record.
	End(ctx context.Context, lease store.Lease) error
}

// Adapter connects the daemon to a platform.
type Adapter struct {
	Source   mirror.Source
	Registry Registry
	Decoder  Decoder
	// Reload reads the settings again.
	Reload  func() (*Settings, error)
	Dialect forward.Dialect
	// DirectoryPath and ReadyPath are where callers and the platform ask.
	DirectoryPath string
	ReadyPath     string
	// DirectoryBody returns the body, encoded as JSON, of a directory answer.
	DirectoryBody func(addrs []string, ttl time.Duration) any
}
