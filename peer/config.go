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

// Defaults of Config.
const (
	DefaultHeartbeat  = time.Second
	DefaultMaxSilent  = 3
	DefaultKeepAlive  = 10 * time.Second
	DefaultIdleClose  = 90 * time.Second
	DefaultQueueBytes = 2 * maxFrameBytes
	// MinKeyBytes is the shortest shared key accepted.
	MinKeyBytes = 16
)

// Config configures a Node.
type Config struct {
	// Self is the name of the local daemon.
	Self string
	// Listen is the address to accept links on, as host:port.
	Listen string
	// Keys are the shared keys: the first signs, all verify.
	Keys [][]byte
	// Resolve returns the address of a daemon.
	Resolve func(name string) (addr string, ok bool)
	// Log receives link events; nil discards them.
	Log *log.Logger
	// Metrics receives the link metrics; nil discards them.
	Metrics metrics.Registry

	// Heartbeat is how long a peer may leave sent bytes unanswered before it is
	// asked for a sign of life.
	Heartbeat time.Duration
	// MaxSilent is the number of heartbeats without any byte after which a link
	// is abandoned.
	MaxSilent int
	// KeepAlive is the time between heartbeats of a link without messages.
	KeepAlive time.Duration
	// IdleClose is the time without messages after which a link is closed.
	IdleClose time.Duration
	// QueueBytes bounds the bytes waiting for one peer.
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
	c.MaxSilent = defaults.Positive(c.MaxSilent, DefaultMaxSilent)
	c.KeepAlive = defaults.Positive(c.KeepAlive, DefaultKeepAlive)
	c.IdleClose = defaults.Positive(c.IdleClose, DefaultIdleClose)
	c.QueueBytes = defaults.Positive(c.QueueBytes, DefaultQueueBytes)
}

// check returns all faults of a configuration.
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

// silence is the time without any byte after which a link is abandoned.
func (c *Config) silence() time.Duration {
	return time.Duration(c.MaxSilent) * c.Heartbeat
}
