package reach

import (
	"context"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/kernel"
)

const (
	// trialInterval is the time between two rounds of trials.
	trialInterval = 250 * time.Millisecond
	// trialTimeout bounds one trial.
	trialTimeout = 250 * time.Millisecond
)

// NewTrials returns the service that tries direct paths that failed by opening connections. The function
// servers returns all servers.
func NewTrials(c *Connector, servers func() []*backend.Server) *kernel.Periodic {
	return kernel.NewPeriodic(trialInterval, func(now time.Time) {
		for _, s := range c.table.TakeTrials(servers(), now) {
			go c.try(s)
		}
	})
}

// try opens a direct connection and closes it.
func (c *Connector) try(s *backend.Server) {
	if conn, err := c.dialRecorded(context.Background(), s, trialTimeout); err == nil {
		conn.Close()
	}
}
