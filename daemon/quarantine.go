package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/hashring"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/quarantine"
)

// quarantineUpkeepInterval is the time between two removals of what is no longer needed.
const quarantineUpkeepInterval = time.Minute

// quarantineService shares with the other daemons which requests are withheld, and forgets what is no longer
// needed.
type quarantineService struct {
	list     *quarantine.List
	exchange kernel.Service
	upkeep   kernel.Service
}

func (b *builder) newQuarantine(r kernel.Registry) (kernel.Service, error) {
	f := serviceFinder{registry: r}
	node := find[*peer.Node](&f, peerName)
	m := find[*membership.Service](&f, membershipName)
	if f.err != nil {
		return nil, f.err
	}
	owner := func(hash uint64) string { return hashring.New(liveDaemons(m)).Owner(hash) }
	others := func() []string {
		return slices.DeleteFunc(liveDaemons(m), func(name string) bool { return name == m.Self().Name })
	}
	list := quarantine.New(m.Self().Name, owner, b.log, b.metrics)
	return &quarantineService{
		list:     list,
		exchange: quarantine.NewExchange(list, node, others, b.log, b.metrics),
		upkeep:   kernel.NewPeriodic(quarantineUpkeepInterval, list.Forget),
	}, nil
}

// liveDaemons returns the names of the daemons that are alive.
func liveDaemons(m *membership.Service) []string {
	var names []string
	for _, d := range m.Daemons() {
		if d.State == membership.Alive {
			names = append(names, d.Name)
		}
	}
	return names
}

// Start implements kernel.Service.
func (s *quarantineService) Start(ctx context.Context) error {
	if err := s.exchange.Start(ctx); err != nil {
		return err
	}
	return s.upkeep.Start(ctx)
}

// Stop implements kernel.Service.
func (s *quarantineService) Stop(ctx context.Context) error {
	if err := s.upkeep.Stop(ctx); err != nil {
		return err
	}
	return s.exchange.Stop(ctx)
}
