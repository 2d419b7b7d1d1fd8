// Package entry implements the daemon that runs on each entry host of a platform.
// It mirrors the platform's records, discovers the other daemons and forwards
// callers' requests to backend servers. An Adapter contains everything that is
// specific to the platform.
package entry

import (
	"context"
	"time"

	"github.com/jacinththread/jacinththread/autoscale"
	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/budget"
	"github.com/jacinththread/jacinththread/forward"
	"github.com/jacinththread/jacinththread/metering"
	"github.com/jacinththread/jacinththread/mirror"
	"github.com/jacinththread/jacinththread/reach"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/store"
)

// Settings are the settings of one daemon.
type Settings struct {
	Name   string
	IP     string
	Domain string
	Region string
	// Seeds are the peer addresses of the daemons contacted at startup.
	Seeds []string

	// Callers, Ready, Peers, Directory and Metrics are the addresses to listen
	// on, each an IP address and port.
	Callers   string
	Ready     string
	Peers     string
	Directory string
	// Metrics may be empty; metrics are then not served.
	Metrics string

	Cores       int
	MemoryBytes int64
	Descriptors int

	// Grace is the time within which the process must exit after the stop signal.
	Grace time.Duration
	// MaxDirectoryTTL is the longest time for which callers may cache a directory
	// response.
	MaxDirectoryTTL time.Duration
	// Budget limits retries across all daemons.
	Budget budget.Limit

	// LeaderLease is the duration of the leases of daemons that act for all.
	LeaderLease time.Duration
	// Usage describes the windows in which usage is reported; a zero length means that it isn't.
	Usage metering.Windows
	// Autoscaling is set if servers are ordered.
	Autoscaling bool
	// CustomersRequired is set if every configuration lists customers.
	CustomersRequired bool
	// SharedCapacity is set if customers compete for less capacity than they ask for. Scarce slots are then
	// divided among them, and requests wait for slots at the daemon.
	SharedCapacity bool
}

// Keys of the records that the daemon mirrors.
const (
	// ConfigKey is the key of the current configuration.
	ConfigKey = "config"
	// ServersPrefix is the key prefix of backend server records; the server's ID
	// follows.
	ServersPrefix = "servers/"
	// DaemonsPrefix is the key prefix of daemon records; the daemon's peer address
	// follows.
	DaemonsPrefix = "daemons/"
	// BlocksPrefix is the key prefix of blocks of the quarantine; the subject's key follows.
	BlocksPrefix = "blocks/"
)

// Decoder decodes the values of the platform's records.
type Decoder interface {
	// Config decodes the configuration record.
	Config(e store.Entry) (*route.Config, error)
	// Server decodes the record of the backend server with the given ID.
	Server(id string, e store.Entry) (backend.Server, error)
}

// Registry maintains the daemon's own record in the store.
type Registry interface {
	// Register writes the record of the named daemon under a new lease.
	Register(ctx context.Context, name string, ttl time.Duration) (store.LeaseID, error)
	// Keep renews a lease. It returns store.ErrNotFound if the lease has expired.
	Keep(ctx context.Context, lease store.LeaseID) error
	// End ends a lease, which deletes the record.
	End(ctx context.Context, lease store.LeaseID) error
}

// BlockStore writes the blocks of the quarantine.
type BlockStore interface {
	// PutBlock writes the block with the given key.
	PutBlock(ctx context.Context, key string, value []byte) error
	// DeleteBlock deletes the block with the given key.
	DeleteBlock(ctx context.Context, key string) error
}

// Adapter connects the daemon to a platform.
type Adapter struct {
	// Source reads the platform's records.
	Source   mirror.Source
	Registry Registry
	Blocks   BlockStore
	// Store, Usage and Orders serve the daemons that act for all. They may be nil if the settings ask for no
	// such work.
	Store   store.Transactor
	Usage   metering.Reporter
	Orders  autoscale.Orderer
	Decoder Decoder
	// Reload loads the settings again. It may be nil.
	Reload func() (*Settings, error)
	// HeaderCodec translates the platform's header fields.
	HeaderCodec forward.HeaderCodec
	// DialServer opens connections to backend servers. If it is nil, they are opened over TCP.
	DialServer reach.DialFunc
	// DirectoryPath is the URL path at which callers look up daemon addresses.
	// ReadyPath is the URL path of the readiness check.
	DirectoryPath string
	ReadyPath     string
	// DirectoryBody returns the value that is encoded as the JSON body of a
	// directory response.
	DirectoryBody func(addrs []string, ttl time.Duration) any
}
