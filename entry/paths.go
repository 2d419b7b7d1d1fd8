package entry

import (
	"context"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/reach"
	"github.com/jacinththread/jacinththread/tunnel"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// maxTunnels is the number of tunnels that a daemon carries for others at the same time. Each takes two
	// descriptors.
	maxTunnels = 300
	// maxTunnelShare is the share of the descriptors that tunnels may take.
	maxTunnelShare = 0.15
)

// tunnelLimit returns the number of tunnels that the daemon carries at the same time.
func (s *Settings) tunnelLimit() int {
	return min(maxTunnels, int(maxTunnelShare*float64(s.Descriptors)/2))
}

// newPaths creates what opens connections to servers, directly and through other daemons.
func (d *Daemon) newPaths() {
	dial := reach.DialFunc(upstream.Dial)
	if d.adapter.DialServer != nil {
		dial = d.adapter.DialServer
	}
	d.reach = reach.NewTable(d.log, d.metrics)
	d.tunnels = tunnel.NewClient(tunnel.ClientConfig{
		OpenStream: d.openStream, Fleet: d.liveFleet, Log: d.log, Metrics: d.metrics,
	})
	d.connector = reach.NewConnector(d.reach, dial, d.tunnels)
	d.carrier = tunnel.NewServer(tunnel.ServerConfig{
		Catalog: d.catalog, Dialer: d.connector, HeldOff: d.heldOff, IsMember: d.isMember, MaxTunnels: d.settings.tunnelLimit(), Log: d.log, Metrics: d.metrics,
	})
}

// openStream opens a stream to another daemon.
func (d *Daemon) openStream(ctx context.Context, to string) (*peer.Stream, error) {
	if node := d.node.Load(); node != nil {
		return node.OpenStream(ctx, to)
	}
	return nil, peer.ErrClosed
}

// liveFleet returns the live daemons; only the local one until the membership service exists.
func (d *Daemon) liveFleet() placement.Fleet {
	if d.members == nil {
		return placement.Fleet{Self: d.fleet.self}
	}
	return d.fleet.Live()
}

// isMember reports whether a daemon belongs to the fleet.
func (d *Daemon) isMember(name string) bool {
	if d.members == nil {
		return false
	}
	_, known := d.members.Resolve(name)
	return known
}

// heldOff returns for how long a server wants no requests from the local host.
func (d *Daemon) heldOff(server backend.Instance) time.Duration {
	return d.holdOffs.Remaining(server, time.Now())
}

func (d *Daemon) newTrials(kernel.Registry) (kernel.Service, error) {
	return reach.NewTrials(d.connector, d.catalog.All), nil
}
