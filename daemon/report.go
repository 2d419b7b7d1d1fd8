package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/gateway"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/membership"
)

// reportInterval is the interval at which the load that peers see is updated.
const reportInterval = 500 * time.Millisecond

// loadReporter publishes the load and the bundle version of this daemon to its
// peers through the membership.
type loadReporter struct {
	view    *membership.Service
	bundles *bundle.Activator
	gateway *gateway.Gateway
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func (b *builder) newReport(r kernel.Registry) (kernel.Service, error) {
	f := serviceFinder{registry: r}
	m := find[*membership.Service](&f, membershipName)
	bundles := find[*bundle.Activator](&f, bundleName)
	g := find[gatewayService](&f, gatewayName)
	if f.err != nil {
		return nil, f.err
	}
	return &loadReporter{view: m, bundles: bundles, gateway: g.Gateway}, nil
}

// Start implements kernel.Service.
func (r *loadReporter) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { r.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (r *loadReporter) Stop(context.Context) error {
	r.cancel()
	r.done.Wait()
	return nil
}

func (r *loadReporter) run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		changed := r.bundles.Changed()
		r.view.SetLoad(uint32(r.gateway.InFlight()))
		if active := r.bundles.Current(); active != nil {
			r.view.SetBundleVersion(active.Version)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}
