package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/peer"
)

const (
	// ticksPerProbe is the number of deadline checks per probe interval.
	ticksPerProbe = 4
	// rejoinIntervalProbes is the time between two attempts to reach a dead or
	// not yet contacted daemon, in probe intervals.
	rejoinIntervalProbes = 5
	// pauseThresholdProbes is the time without a tick, in probe intervals, after
	// which the process counts as paused.
	pauseThresholdProbes = 2
)

// Service maintains the membership by gossip, probes and reads of the host list.
// It implements kernel.Service and View.
type Service struct {
	cfg     Config
	metrics serviceMetrics
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup

	load          atomic.Uint32
	bundleVersion atomic.Uint64
	daemonSnap    atomic.Pointer[daemonSnapshot]
	serverSnap    atomic.Pointer[serverSnapshot]
	listedSnap    atomic.Pointer[map[string]string]

	// mu guards the fields below.
	mu         sync.Mutex
	rng        *rand.Rand
	self       record
	superseded bool
	stopped    bool
	members    map[string]*member
	servers    map[string]*serverRecord
	// listedDaemons maps the names of the daemons in the host list to their
	// addresses.
	listedDaemons map[string]string
	// liveCache holds the result of liveNames; nil means that it is stale.
	liveCache []string
	// probeOrder lists the daemons still to be probed in the current round.
	probeOrder    []string
	probes        map[uint64]*probe
	relays        map[uint64]relay
	seq           uint64
	updateQueue   []queuedUpdate
	urgent        []key
	urgentPending bool
	changed       chan struct{}

	daemonsChanged bool
	serversChanged bool
	samplesChanged bool

	lastTick   time.Time
	nextProbe  time.Time
	nextSync   time.Time
	nextRejoin time.Time
	syncSoon   bool
}

// New returns a service that has not started. The error lists all faults of the
// configuration.
func New(cfg Config) (*Service, error) {
	if err := cfg.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	cfg.setDefaults()
	seed := cfg.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		cfg:     cfg,
		metrics: newServiceMetrics(cfg.Metrics),
		ctx:     ctx,
		cancel:  cancel,
		rng:     rand.New(rand.NewPCG(seed, xxhash.Sum64String(cfg.Self.Name))),
		self: record{
			Name: cfg.Self.Name, Incarnation: cfg.Self.Incarnation, State: Alive,
			Region: cfg.Self.Region, Domain: cfg.Self.Domain,
			PeerAddr: cfg.Self.PeerAddr, CallerAddr: cfg.Self.CallerAddr,
		},
		members: map[string]*member{},
		servers: map[string]*serverRecord{},
		probes:  map[uint64]*probe{},
		relays:  map[uint64]relay{},
		changed: make(chan struct{}),
	}
	s.listedSnap.Store(&map[string]string{})
	s.publishDaemons()
	s.publishServers()
	s.registerHandlers()
	return s, nil
}

// registerHandlers registers the message handlers.
func (s *Service) registerHandlers() {
	bus := s.cfg.Bus
	bus.Handle(peer.KindPing, func() peer.Message { return new(ping) }, s.onPing)
	bus.Handle(peer.KindPingRequest, func() peer.Message { return new(pingRequest) }, s.onPingRequest)
	bus.Handle(peer.KindAck, func() peer.Message { return new(ack) }, s.onAck)
	bus.Handle(peer.KindGossip, func() peer.Message { return new(gossip) }, s.onGossip)
	bus.Handle(peer.KindSync, func() peer.Message { return new(stateSync) }, s.onSync)
	bus.OnLinkDown(s.onLinkDown)
}

// Start reads the host list, contacts the seeds and begins to probe. A failed
// read of the host list does not prevent the daemon from starting.
func (s *Service) Start(ctx context.Context) error {
	s.poll(ctx)
	s.mu.Lock()
	now := s.now()
	s.lastTick = now
	s.nextProbe = now.Add(s.jitter(s.cfg.ProbeInterval))
	s.nextSync = now.Add(s.jitter(s.cfg.SyncInterval))
	s.nextRejoin = now
	s.mu.Unlock()
	s.done.Go(s.run)
	s.done.Go(s.pollLoop)
	return nil
}

// Stop ends the participation of the local daemon. After Leave, it first
// announces its death to other daemons, so that they need not detect it.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	if s.self.State == Leaving && !s.superseded && !s.stopped {
		gone := record{Name: s.self.Name, Incarnation: s.self.Incarnation, State: Dead}
		for _, name := range s.randomPeers(urgentFanout(s.liveCount())) {
			s.send(name, &gossip{Updates: updates{Daemons: []record{gone}}})
		}
	}
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.done.Wait()
	return nil
}

// Leave declares the local daemon Leaving. It remains a member until Stop.
func (s *Service) Leave() {
	s.update(func() {
		if s.self.State == Leaving {
			return
		}
		s.self.State = Leaving
		s.self.Incarnation++
		s.queueUrgent(daemonKey(s.self.Name))
		s.markDaemonsChanged()
	})
}

// SetLoad sets the number of requests in flight on the local daemon.
func (s *Service) SetLoad(n uint32) { s.load.Store(n) }

// SetBundleVersion sets the bundle version in force on the local daemon.
func (s *Service) SetBundleVersion(v uint64) {
	s.update(func() {
		if s.bundleVersion.Swap(v) != v {
			s.markDaemonsChanged()
		}
	})
}

// update runs a change under the lock and publishes the resulting state. It does
// nothing once the service is stopped.
func (s *Service) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	change()
	s.publish()
}

// markDaemonsChanged schedules a new daemon snapshot and invalidates liveCache.
func (s *Service) markDaemonsChanged() {
	s.daemonsChanged = true
	s.liveCache = nil
}

func (s *Service) now() time.Time { return time.Now() }

func (s *Service) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

// send passes a message to the bus. Errors are only logged, because later
// messages deliver the same state.
func (s *Service) send(to string, m peer.Message) {
	if to == s.self.Name {
		return
	}
	if err := s.cfg.Bus.Send(to, m); err != nil {
		s.cfg.Log.Debug("sending a membership message failed", "to", to, "err", err)
	}
}

// run checks deadlines until the service stops.
func (s *Service) run() {
	tick := time.NewTicker(s.cfg.ProbeInterval / ticksPerProbe)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
			s.update(s.onTick)
		}
	}
}

func (s *Service) onTick() {
	now := s.now()
	s.extendDeadlinesAfterPause(now)
	s.checkProbes()
	s.checkSuspects()
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(s.cfg.ProbeInterval)
		s.startProbe()
	}
	if !now.Before(s.nextRejoin) {
		s.nextRejoin = now.Add(s.rejoinWait())
		s.rejoin()
	}
	if !now.Before(s.nextSync) {
		s.nextSync = now.Add(s.cfg.SyncInterval)
		s.forgetServers()
		s.syncWithRandomPeer()
	} else if s.syncSoon {
		s.syncWithRandomPeer()
	}
	if s.samplesChanged && !s.daemonsChanged {
		s.publishDaemons()
	}
}

func (s *Service) syncWithRandomPeer() {
	s.syncSoon = false
	for _, name := range s.randomPeers(1) {
		s.startSync(name)
	}
}

// extendDeadlinesAfterPause drops the pending probes and postpones the deadlines
// of suspects after a pause of the local process, because acks may still be
// unread.
func (s *Service) extendDeadlinesAfterPause(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.lastTick = now
	if gap < pauseThresholdProbes*s.cfg.ProbeInterval {
		return
	}
	s.metrics.pauses.Inc(1)
	s.cfg.Log.Warn("process was paused", "for", gap)
	clear(s.probes)
	for _, m := range s.members {
		if m.failure == Suspect {
			m.deadline = m.deadline.Add(gap)
		}
	}
}

// rejoinWait returns the time until the next rejoin, which is shorter while no
// other daemon is live.
func (s *Service) rejoinWait() time.Duration {
	if len(s.liveNames()) == 0 {
		return s.cfg.ProbeInterval
	}
	return rejoinIntervalProbes * s.cfg.ProbeInterval
}

// rejoin contacts a random daemon that is dead, or that is known only from the
// seeds or the host list, so that groups merge again after a network partition.
func (s *Service) rejoin() {
	var candidates []string
	for name, m := range s.members {
		if m.failure == Dead {
			candidates = append(candidates, name)
		}
	}
	for _, seed := range s.cfg.Seeds {
		if s.members[seed.Name] == nil && seed.Name != s.self.Name {
			candidates = append(candidates, seed.Name)
		}
	}
	for name := range s.listedDaemons {
		if s.members[name] == nil && name != s.self.Name {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 {
		return
	}
	name := candidates[s.rng.IntN(len(candidates))]
	s.sendPing(name, s.nextSeq())
	s.startSync(name)
}
