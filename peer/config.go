package peer

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/internal/defaults"
)

// Default values of Config.
const (
	DefaultHeartbeat           = time.Second
	DefaultMaxSilentHeartbeats = 3
	DefaultKeepAlive           = 10 * time.Second
	DefaultIdleTimeout         = 90 * time.Second
	DefaultQueueBytes          = 2 * maxFrameBytes
	// MinKeyBytes is the minimum length of a shared key.
	MinKeyBytes = 16
)

// Config configures a Node.
type Config struct {
	// Self is the name of the local daemon.
	Self string
	// Listen is the address on which the node accepts links, as host:port.
	Listen string
	// Keys are the shared keys. The first one is used to sign, and any of them
	// is accepted when verifying, so that keys can be rotated.
	Keys [][]byte
	// Resolve returns the address of a daemon, and false if it is unknown.
	Resolve func(name string) (addr string, ok bool)
	// Log receives link events; nil discards them.
	Log *log.Logger
	// Metrics receives the link metrics; nil discards them.
	Metrics metrics.Registry

	// Heartbeat is the interval at which links are checked and pending replies
	// are sent. A sender that gets no reply for one and a half intervals requests
	// a heartbeat.
	Heartbeat time.Duration
	// MaxSilentHeartbeats is the number of heartbeat intervals without a reply
	// after which a link is closed as failed.
	MaxSilentHeartbeats int
	// KeepAlive is the interval between heartbeat requests on a link that sends
	// no messages.
	KeepAlive time.Duration
	// IdleTimeout is the time without outgoing messages after which a link is
	// closed.
	IdleTimeout time.Duration
	// QueueBytes bounds the encoded messages queued for one peer.
	QueueBytes int
}

func (c *Config) setDefaults() {
	if c.Log == nil {
		c.Log = log.New(io.Discard)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	c.Heartbeat = defaults.Positive(c.Heartbeat, DefaultHeartbeat)
	c.MaxSilentHeartbeats = defaults.Positive(c.MaxSilentHeartbeats, DefaultMaxSilentHeartbeats)
	c.KeepAlive = defaults.Positive(c.KeepAlive, DefaultKeepAlive)
	c.IdleTimeout = defaults.Positive(c.IdleTimeout, DefaultIdleTimeout)
	c.QueueBytes = defaults.Positive(c.QueueBytes, DefaultQueueBytes)
}

// check returns all errors of the configuration, joined.
func (c *Config) check() error {
	var errs []error
	if c.Self == "" {
		errs = append(errs, errors.New("peer node has no name"))
	}
	if c.Resolve == nil {
		errs = append(errs, errors.New("peer node has no resolver"))
	}
	if len(c.Keys) == 0 {
		errs = append(errs, errors.New("peer node has no shared key"))
	}
	for i, k := range c.Keys {
		if len(k) < MinKeyBytes {
			errs = append(errs, fmt.Errorf("shared key %d has %d bytes, want at least %d", i+1, len(k), MinKeyBytes))
		}
	}
	return errors.Join(errs...)
}

// silenceTimeout returns the time without a reply after which a link is closed
// as failed.
func (c *Config) silenceTimeout() time.Duration {
	return time.Duration(c.MaxSilentHeartbeats) * c.Heartbeat
}
