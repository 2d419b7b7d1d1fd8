package placement

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/fairshare"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/policy"
)

// Loads are exchanged in one of two ways, depending on the size of the fleet.
//
// In a small fleet every daemon sends its changes to all others directly, which
// has the lowest delay. The number of messages then grows with the square of
// the fleet, so a large fleet uses relays: the servers are divided into shards,
// and each failure domain has one relay per shard, chosen by rendezvous hashing.
// Daemons send their changes to the relays of all failure domains, and a relay
// sends the totals of its shard to the daemons of its own domain. A daemon then
// sends messages in proportion to its own requests and receives one message per
// shard and interval. Long prompts are reported to the relays at once.

const (
	// shareInterval is the shortest interval between two rounds. A request
	// placed on a busy server waits for several intervals.
	shareInterval = 80 * time.Millisecond
	// intervalPerDaemon times the number of other daemons is the interval in a
	// large fleet, so that the rate of messages that a daemon receives stays
	// bounded.
	intervalPerDaemon = 1500 * time.Microsecond
	// maxDirectPeers is the largest number of other daemons with which loads
	// are exchanged directly instead of through relays.
	maxDirectPeers = 12
	// refreshInterval is how often all loads are reported, including unchanged
	// ones, in case a message was lost or a relay is new.
	refreshInterval = time.Second
	// workInterval is the time between two reports of the work of customers. It is a part of the time within which
	// shares that aren't used are lent and returned.
	workInterval = 400 * time.Millisecond
	// workRefreshInterval is how often all work is reported, including that which has not changed.
	workRefreshInterval = 3 * time.Second
	// shardCount is the number of shards into which the servers are divided.
	shardCount = 8
)

// Peer is a live daemon.
type Peer struct {
	Name   string
	Domain string
}

// Fleet lists the local daemon and the other live daemons.
type Fleet struct {
	Self   Peer
	Others []Peer
}

// OtherNames returns the names of the other live daemons.
func (f Fleet) OtherNames() []string {
	var names []string
	for _, p := range f.Others {
		names = append(names, p.Name)
	}
	return names
}

// LoadExchange periodically reports the local daemon's load on each server to
// the other daemons.
type LoadExchange struct {
	tracker *Tracker
	bus     peer.Bus
	fleet   func() Fleet
	log     *log.Logger
	cancel  context.CancelFunc
	done    chan struct{}
	// nextRefresh is when all loads are reported again.
	nextRefresh time.Time
	// nextWork is when changes of the work of customers are reported, nextWorkRefresh when all of it is.
	nextWork, nextWorkRefresh time.Time
	sent, early               metrics.Counter
	// now returns the time. Tests replace it.
	now func() time.Time
}

// NewLoadExchange returns a LoadExchange and registers its message handlers with
// the bus. The function fleet returns the live daemons.
func NewLoadExchange(t *Tracker, bus peer.Bus, fleet func() Fleet, logger *log.Logger, registry metrics.Registry) *LoadExchange {
	e := &LoadExchange{
		tracker: t, bus: bus, fleet: fleet, log: logger, done: make(chan struct{}),
		sent:  metrics.GetOrRegisterCounter("placement.load_messages", registry),
		early: metrics.GetOrRegisterCounter("placement.early_reports", registry),
		now:   time.Now,
	}
	bus.Handle(peer.KindServerLoads, func() peer.Message { return new(loadsMessage) }, func(from string, m peer.Message) {
		t.receiveLoads(from, m.(*loadsMessage), e.now())
		t.shares.ReceivePeer(from, m.(*loadsMessage).Work, e.now())
	})
	bus.Handle(peer.KindServerTotals, func() peer.Message { return new(totalsMessage) }, func(_ string, m peer.Message) {
		t.receiveTotals(m.(*totalsMessage), e.now())
		t.shares.ReceiveTotals(m.(*totalsMessage).Work, e.now())
	})
	return e
}

// Start implements kernel.Service.
func (e *LoadExchange) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.run(ctx)
	return nil
}

// Stop implements kernel.Service.
func (e *LoadExchange) Stop(context.Context) error {
	e.cancel()
	<-e.done
	return nil
}

func (e *LoadExchange) run(ctx context.Context) {
	defer close(e.done)
	for {
		fleet := e.fleet()
		timer := time.NewTimer(roundInterval(len(fleet.Others)))
		if !e.reportUntil(ctx, fleet, timer.C) {
			timer.Stop()
			return
		}
		e.round(fleet, e.now())
	}
}

// reportUntil reports loads early as long as the next round isn't due. It returns false if the context ended.
func (e *LoadExchange) reportUntil(ctx context.Context, fleet Fleet, due <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-due:
			return true
		case <-e.tracker.report:
			e.reportEarly(fleet)
		}
	}
}

// roundInterval returns the time between two rounds of a daemon, given the number of others.
func roundInterval(others int) time.Duration {
	return max(shareInterval, time.Duration(others)*intervalPerDaemon)
}

// reportEarly sends the changed loads to the relays. In a small fleet, which has none, rounds are frequent enough.
func (e *LoadExchange) reportEarly(fleet Fleet) {
	if len(fleet.Others) > maxDirectPeers {
		e.early.Inc(1)
		e.sendToRelays(fleet, &loadsMessage{Loads: e.tracker.takeChanges(false)})
	}
}

// round sends the changed loads and recomputes the remote loads from the
// messages received.
func (e *LoadExchange) round(fleet Fleet, now time.Time) {
	all := !now.Before(e.nextRefresh)
	if all {
		e.nextRefresh = now.Add(refreshInterval)
	}
	work, sendWork := e.takeWork(now)
	changes := loadsMessage{Loads: e.tracker.takeChanges(all), Work: work}
	if len(fleet.Others) <= maxDirectPeers {
		e.sendToAll(fleet, &changes)
	} else {
		e.sendToRelays(fleet, &changes)
		e.sendTotals(fleet, now, sendWork)
	}
	e.tracker.updateRemote(now)
	e.tracker.setDaemons(len(fleet.Others) + 1)
}

// takeWork returns the work of customers to report in this round, and whether work is reported at all.
func (e *LoadExchange) takeWork(now time.Time) ([]fairshare.ClassWork, bool) {
	if now.Before(e.nextWork) {
		return nil, false
	}
	e.nextWork = now.Add(workInterval)
	all := !now.Before(e.nextWorkRefresh)
	if all {
		e.nextWorkRefresh = now.Add(workRefreshInterval)
	}
	return e.tracker.shares.TakeChanges(now, all), true
}

// sendToAll sends changes to all other daemons.
func (e *LoadExchange) sendToAll(fleet Fleet, changes *loadsMessage) {
	e.tracker.discardQueuedParts()
	if len(changes.Loads) == 0 && len(changes.Work) == 0 {
		return
	}
	e.sendEach(fleet.OtherNames(), changes)
}

// sendToRelays sends changes to the relays of their shards in all failure
// domains.
func (e *LoadExchange) sendToRelays(fleet Fleet, changes *loadsMessage) {
	if len(changes.Loads) == 0 && len(changes.Work) == 0 {
		return
	}
	domains := fleet.domains()
	for shard, m := range changes.byShard() {
		var relays []string
		for domain, members := range domains {
			relays = append(relays, relayOf(domain, shard, members))
		}
		if slices.Contains(relays, fleet.Self.Name) {
			e.tracker.queueParts(m.Loads)
		}
		e.sendEach(without(relays, fleet.Self.Name), m)
	}
}

// byShard divides a message by the shards of its servers and classes.
func (m *loadsMessage) byShard() map[int32]*loadsMessage {
	out := map[int32]*loadsMessage{}
	of := func(shard int32) *loadsMessage {
		if out[shard] == nil {
			out[shard] = &loadsMessage{}
		}
		return out[shard]
	}
	for _, l := range m.Loads {
		part := of(shardOf(l.Server))
		part.Loads = append(part.Loads, l)
	}
	for _, w := range m.Work {
		part := of(shardOfClass(w.Class))
		part.Work = append(part.Work, w)
	}
	return out
}

// sendTotals sends the totals of the shards that the local daemon relays to the
// other daemons of its failure domain, with the work of customers if withWork is set.
func (e *LoadExchange) sendTotals(fleet Fleet, now time.Time, withWork bool) {
	members := fleet.domains()[fleet.Self.Domain]
	for shard := range int32(shardCount) {
		if relayOf(fleet.Self.Domain, shard, members) != fleet.Self.Name {
			continue
		}
		m := e.tracker.shardTotals(shard, now)
		if withWork {
			m.Work = e.tracker.shares.Totals(now, func(c fairshare.Class) bool { return shardOfClass(c) == shard })
		}
		e.sendEach(without(members, fleet.Self.Name), m)
	}
}

// without returns the names without one of them.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}

// sendEach sends a message to several daemons.
func (e *LoadExchange) sendEach(to []string, m peer.Message) {
	e.sent.Inc(int64(len(to)))
	if err := e.bus.SendAll(to, m); err != nil {
		e.log.Debug("sending server loads failed", "daemons", len(to), "err", err)
	}
}

// domains returns the names of all live daemons by failure domain.
func (f *Fleet) domains() map[string][]string {
	out := map[string][]string{f.Self.Domain: {f.Self.Name}}
	for _, p := range f.Others {
		out[p.Domain] = append(out[p.Domain], p.Name)
	}
	return out
}

// shardOf returns the shard of a server.
func shardOf(server string) int32 { return int32(xxhash.Sum64String(server) % shardCount) }

// shardOfClass returns the shard of the work of a class, whose customers are all in one message.
func shardOfClass(c fairshare.Class) int32 {
	return shardOf(c.Service + "/" + strconv.Itoa(int(c.Urgency)))
}

// relayOf returns the name of the daemon that relays a shard in a failure
// domain.
func relayOf(domain string, shard int32, members []string) string {
	return policy.Assign(domain+"/"+strconv.Itoa(int(shard)), members)
}
