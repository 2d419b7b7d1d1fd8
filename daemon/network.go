package daemon

import (
	"context"
	"time"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/store/httpstore"
)

type platformService struct {
	passive
	*httpstore.Client
}

// Stop implements kernel.Service.
func (s platformService) Stop(context.Context) error {
	s.Close()
	return nil
}

func (p *parts) newPlatform(kernel.Registry) (kernel.Service, error) {
	timeout := time.Duration(p.settings.Platform.TimeoutMs) * time.Millisecond
	client, err := httpstore.New(p.settings.Platform.URL, timeout, httpstore.WithMetrics(p.metrics))
	if err != nil {
		return nil, err
	}
	return platformService{Client: client}, nil
}

func (p *parts) newPeer(kernel.Registry) (kernel.Service, error) {
	keys, err := p.settings.Peers.SharedKeys()
	if err != nil {
		return nil, err
	}
	return peer.New(peer.Config{
		Self:    p.settings.Name,
		Listen:  p.settings.Listen.Peers,
		Keys:    keys,
		Resolve: p.resolvePeer,
		Log:     p.log,
		Metrics: p.metrics,
	})
}

// resolvePeer returns the address of a peer, if it is known. The peer links are
// built before the membership that resolves their names.
func (p *parts) resolvePeer(name string) (string, bool) {
	f := p.resolve.Load()
	if f == nil {
		return "", false
	}
	return (*f)(name)
}

func (p *parts) newMembership(r kernel.Registry) (kernel.Service, error) {
	f := finder{registry: r}
	node := find[*peer.Node](&f, peerName)
	store := find[platformService](&f, platformName)
	if f.err != nil {
		return nil, f.err
	}
	s := p.settings
	m, err := membership.New(membership.Config{
		Self: membership.Daemon{
			Name:        s.Name,
			Incarnation: firstIncarnation(p.started),
			Region:      s.Region,
			Domain:      s.Domain,
			PeerAddr:    firstOf(s.Advertise.Peers, s.Listen.Peers),
			CallerAddr:  firstOf(s.Advertise.Callers, s.Listen.Callers),
		},
		Bus:           node,
		Hosts:         store,
		DaemonService: s.Platform.DaemonService,
		Seeds:         p.seeds(),
		Log:           p.log,
		Metrics:       p.metrics,
	})
	if err != nil {
		return nil, err
	}
	resolve := m.Resolve
	p.resolve.Store(&resolve)
	return m, nil
}

func (p *parts) seeds() []membership.Seed {
	var out []membership.Seed
	for _, seed := range p.settings.Peers.Seeds {
		out = append(out, membership.Seed{Name: seed.Name, Addr: seed.Addr})
	}
	return out
}

func firstOf(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
