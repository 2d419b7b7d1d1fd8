package kernel

import (
	"context"
	"time"
)

// Periodic is a service that calls a function at a fixed interval until it is
// stopped.
type Periodic struct {
	interval time.Duration
	call     func(now time.Time)
	cancel   context.CancelFunc
	done     chan struct{}
}

// NewPeriodic returns a service that, after Start, calls call at each interval.
func NewPeriodic(interval time.Duration, call func(now time.Time)) *Periodic {
	return &Periodic{interval: interval, call: call, done: make(chan struct{})}
}

// Start implements Service.
func (p *Periodic) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.run(ctx)
	return nil
}

// Stop implements Service. It waits for a call in progress to return.
func (p *Periodic) Stop(context.Context) error {
	p.cancel()
	<-p.done
	return nil
}

func (p *Periodic) run(ctx context.Context) {
	defer close(p.done)
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			p.call(now)
		}
	}
}
