package placement

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/policy"
)

// Why two ways: a small fleet tells everyone everything, which is quickest. In
// a large one that grows with the square of the fleet, so each failure domain
// has a relay for each shard of the servers: daemons tell the relays of all
// domains what changed, and a relay tells the daemons of its domain the sums.
// A daemon then sends in proportion to its own requests, and receives one
// message a shard and interval. The relays are found by rendezvous hashing.

const (
	// shareInterval is the least time between two rounds. A request that is
	// placed on a busy server waits for several of these.
	shareInterval = 80 * time.Millisecond
	// intervalPerDaemon lengthens the interval with the fleet, so that what a
	// daemon receives stays bounded.
	intervalPerDaemon = 1500 * time.Microsecond
	// everyoneFleet is the largest number of other daemons that are told
	// everything directly.
	everyoneFleet = 12
	// refreshInterval is the time after which all loads are told again, in case
	// a message was lost or a relay is new.
	refreshInterval = time.Second
	// shards is the number of parts that the servers are dealt into.
	shards = 8
)

// Peer is another live daemon.
type Peer struct {
	Name   string
	Domain string
}

// Fleet lists the local daemon and the other live ones.
type Fleet struct {
	Self   Peer
	Others []Peer
}

// Sharing tells other daemons what the local one has at each server.
type Sharing struct {
	tracker *Tracker
	bus     peer.Bus
	fleet   func() Fleet
	log     *log.Logger
	cancel  context.CancelFunc
	done    chan struct{}
	refresh time.Time
	sent    metrics.Counter
}

// NewSharing registers the message handlers.
func NewSharing(t *Tracker, bus peer.Bus, fleet func() Fleet, logger *log.Logger, registry metrics.Registry) *Sharing {
	s := &Sharing{
		tracker: t, bus: bus, fleet: fleet, log: logger, done: make(chan struct{}),
		sent: metrics.GetOrRegisterCounter("placement.load_messages", registry),
	}
	bus.Handle(peer.KindServerLoads, func() peer.Message { return new(loads) }, func(from string, m peer.Message) {
		t.hear(from, m.(*loads), time.Now())
	})
	bus.Handle(peer.KindServerTotals, func() peer.Message { return new(totals) }, func(_ string, m peer.Message) {
		t.hearTotals(m.(*totals), time.Now())
	})
	return s
}

// Start implements kernel.Service.
func (s *Sharing) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Service.
func (s *Sharing) Stop(context.Context) error {
	s.cancel()
	<-s.done
	return nil
}

func (s *Sharing) run(ctx context.Context) {
	defer close(s.done)
	for {
		fleet := s.fleet()
		timer := time.NewTimer(max(shareInterval, time.Duration(len(fleet.Others))*intervalPerDaemon))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			s.round(fleet, time.Now())
		}
	}
}

// round tells what changed and works out the sums of what was heard.
func (s *Sharing) round(fleet Fleet, now time.Time) {
	all := !now.Before(s.refresh)
	if all {
		s.refresh = now.Add(refreshInterval)
	}
	changed := s.tracker.changes(all)
	if len(fleet.Others) <= everyoneFleet {
		s.tellEveryone(fleet, changed)
	} else {
		s.tellRelays(fleet, changed)
		s.relay(fleet, now)
	}
	s.tracker.sum(now)
}

func (s *Sharing) tellEveryone(fleet Fleet, changed []load) {
	s.tracker.dropParts()
	if len(changed) == 0 {
		return
	}
	for _, p := range fleet.Others {
		s.send(p.Name, &loads{Loads: changed})
	}
}

// tellRelays sends changes to the relays of all domains.
func (s *Sharing) tellRelays(fleet Fleet, changed []load) {
	if len(changed) == 0 {
		return
	}
	byShard := map[int32][]load{}
	for _, l := range changed {
		shard := shardOf(l.Server)
		byShard[shard] = append(byShard[shard], l)
	}
	domains := fleet.domains()
	for shard, list := range byShard {
		for domain, members := range domains {
			name := relayOf(domain, shard, members)
			if name == fleet.Self.Name {
				s.tracker.keepParts(list)
				continue
			}
			s.send(name, &loads{Loads: list})
		}
	}
}

// relay tells the daemons of the local domain the sums of the shards that the
// local daemon relays.
func (s *Sharing) relay(fleet Fleet, now time.Time) {
	members := fleet.domains()[fleet.Self.Domain]
	for shard := range int32(shards) {
		if relayOf(fleet.Self.Domain, shard, members) != fleet.Self.Name {
			continue
		}
		m := s.tracker.totalsOf(shard, now)
		for _, name := range members {
			if name != fleet.Self.Name {
				s.send(name, m)
			}
		}
	}
}

func (s *Sharing) send(to string, m peer.Message) {
	s.sent.Inc(1)
	if err := s.bus.Send(to, m); err != nil {
		s.log.Debug("loads were not sent", "daemon", to, "err", err)
	}
}

// domains returns the names of the live daemons by failure domain.
func (f *Fleet) domains() map[string][]string {
	out := map[string][]string{f.Self.Domain: {f.Self.Name}}
	for _, p := range f.Others {
		out[p.Domain] = append(out[p.Domain], p.Name)
	}
	return out
}

// shardOf returns the shard of a server.
func shardOf(server string) int32 { return int32(xxhash.Sum64String(server) % shards) }

// relayOf returns the daemon that relays a shard in a domain.
func relayOf(domain string, shard int32, members []string) string {
	return policy.Assign(domain+"/"+strconv.Itoa(int(shard)), members)
}
