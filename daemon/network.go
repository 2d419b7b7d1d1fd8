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
	noLifecycle
	*httpstore.Client
}

// Stop implements kernel.Service.
func (s platformService) Stop(context.Context) error {
	s.Close()
	return nil
}

func (b *builder) newPlatform(kernel.Registry) (kernel.Service, error) {
	timeout := time.Duration(b.settings.Platform.TimeoutMs) * time.Millisecond
	client, err := httpstore.New(b.settings.Platform.URL, timeout, httpstore.WithMetrics(b.metrics))
	if err != nil {
		return nil, err
	}
	return platformService{Client: client}, nil
}

func (b *builder) newPeer(kernel.Registry) (kernel.Service, error) {
	keys, err := b.settings.Peers.SharedKeys()
	if err != nil {
		return nil, err
	}
	return peer.New(peer.Config{
		Self:    b.settings.Name,
		Listen:  b.settings.Listen.Peers,
		Keys:    keys,
		Resolve: b.resolvePeer,
		Log:     b.log,
		Metrics: b.metrics,
	})
}

// resolvePeer returns the address of a peer, if it is known. The peer links are
// built before the membership that resolves their names.
func (b *builder) resolvePeer(name string) (string, bool) {
	f := b.resolve.Load()
	if f == nil {
		return "", false
	}
	return (*f)(name)
}

func (b *builder) newMembership(r kernel.Registry) (kernel.Service, error) {
	f := serviceFinder{registry: r}
	node := find[*peer.Node](&f, peerName)
	store := find[platformService](&f, platformName)
	if f.err != nil {
		return nil, f.err
	}
	s := b.settings
	m, err := membership.New(membership.Config{
		Self: membership.Daemon{
			Name:        s.Name,
			Incarnation: firstIncarnation(b.started),
			Region:      s.Region,
			Domain:      s.Domain,
			PeerAddr:    firstNonEmpty(s.Advertise.Peers, s.Listen.Peers),
			CallerAddr:  firstNonEmpty(s.Advertise.Callers, s.Listen.Callers),
		},
		Bus:           node,
		Hosts:         store,
		DaemonService: s.Platform.DaemonService,
		Seeds:         b.seeds(),
		Log:           b.log,
		Metrics:       b.metrics,
	})
	if err != nil {
		return nil, err
	}
	resolve := m.Resolve
	b.resolve.Store(&resolve)
	return m, nil
}

func (b *builder) seeds() []membership.Seed {
	var out []membership.Seed
	for _, seed := range b.settings.Peers.Seeds {
		out = append(out, membership.Seed{Name: seed.Name, Addr: seed.Addr})
	}
	return out
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
