package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jacinththread/jacinththread/store"
)

const (
	// recordTTL is how long a daemon's record remains in the store after the last
	// renewal. The record only lists a daemon to probe; probes decide whether it
	// is alive.
	recordTTL = 9 * time.Second
	// renewInterval is the time between two lease renewals.
	renewInterval = 3 * time.Second
	// endTimeout is the time limit for deleting the record at a planned stop.
	endTimeout = 500 * time.Millisecond
)

// registration is the service that maintains the daemon's record in the store
// under a lease.
type registration struct {
	registry Registry
	name     string
	log      *log.Logger
	cancel   context.CancelFunc
	done     chan struct{}
	// lease is zero if the daemon is not registered. Only run uses it until done
	// is closed.
	lease store.LeaseID
}

func newRegistration(registry Registry, name string, logger *log.Logger) *registration {
	return &registration{registry: registry, name: name, log: logger, done: make(chan struct{})}
}

// Start implements kernel.Service. It returns without waiting for the first
// registration, so that the daemon starts while the store is unavailable.
func (r *registration) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
	return nil
}

// Stop implements kernel.Service. It ends the lease, which deletes the record.
func (r *registration) Stop(ctx context.Context) error {
	r.cancel()
	<-r.done
	if r.lease == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	if err := r.registry.End(ctx, r.lease); err != nil {
		r.log.Warn("deleting the daemon's record failed", "err", err)
	}
	return nil
}

func (r *registration) run(ctx context.Context) {
	defer close(r.done)
	for ctx.Err() == nil {
		wait := renewInterval
		if err := r.renew(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("renewing the daemon's record failed", "err", err)
			wait = renewInterval/2 + rand.N(renewInterval/2)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// renew renews the lease. If there is no lease or it has expired, renew registers
// the daemon under a new one.
func (r *registration) renew(ctx context.Context) error {
	if r.lease != 0 {
		err := r.registry.Keep(ctx, r.lease)
		if !errors.Is(err, store.ErrNotFound) {
			return err
		}
		r.log.Info("lease of the daemon's record expired", "lease", int64(r.lease))
		r.lease = 0
	}
	lease, err := r.registry.Register(ctx, r.name, recordTTL)
	if err != nil {
		return err
	}
	r.lease = lease
	r.log.Info("daemon registered", "lease", int64(lease))
	return nil
}
