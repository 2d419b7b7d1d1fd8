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
	// ticksPerProbe is the number of times per probe interval that deadlines
	// are checked.
	ticksPerProbe = 4
	// rejoinInterval is the time between attempts to reach a daemon that is
	// dead or was never met, in probe intervals.
	rejoinInterval = 5
	// pauseProbes is the time without a tick after which the process counts as
	// paused, in probe intervals.
	pauseProbes = 2
)

// Service keeps the membership. It is a kernel service and a View.
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

	mu         sync.Mutex
	rng        *rand.Rand
	self       record
	superseded bool
	stopped    bool
	members    map[string]*member
	servers    map[string]*serverRecord
	// listedDaemons maps the daemons of the host list to their addresses.
	listedDaemons map[string]string
	names         []string
	order         []string
	probes        map[uint64]*probe
	relays        map[uint64]relay
	seq           uint64
	rumours       []rumour
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

// New returns a service that takes no part yet. It reports all faults of the
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
	s.handle()
	return s, nil
}

// handle registers the message handlers.
func (s *Service) handle() {
	bus := s.cfg.Bus
	bus.Handle(peer.KindPing, func() peer.Message { return new(ping) }, s.onPing)
	bus.Handle(peer.KindPingRequest, func() peer.Message { return new(pingRequest) }, s.onPingRequest)
	bus.Handle(peer.KindAck, func() peer.Message { return new(ack) }, s.onAck)
	bus.Handle(peer.KindGossip, func() peer.Message { return new(gossip) }, s.onGossip)
	bus.Handle(peer.KindSync, func() peer.Message { return new(stateSync) }, s.onSync)
	bus.OnLinkDown(s.onLinkDown)
}

// Start reads the host list, contacts the seeds and begins to probe. A host
// list that is down does not keep the daemon from starting.
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

// Stop ends the local daemon's part. After Leave, the others learn that it is
// gone for good.
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

// Leave declares the local daemon Leaving. It stays a member until Stop.
func (s *Service) Leave() {
	s.update(func() {
		if s.self.State == Leaving {
			return
		}
		s.self.State = Leaving
		s.self.Incarnation++
		s.spreadNow(daemonKey(s.self.Name))
		s.touchDaemons()
	})
}

// SetLoad sets the number of requests that the local daemon holds.
func (s *Service) SetLoad(n uint32) { s.load.Store(n) }

// SetBundleVersion sets the bundle version in force on the local daemon.
func (s *Service) SetBundleVersion(v uint64) {
	s.update(func() {
		if s.bundleVersion.Swap(v) != v {
			s.touchDaemons()
		}
	})
}

// update changes the state under the lock and publishes what changed.
func (s *Service) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	change()
	s.publish()
}

// touchDaemons notes that a daemon changed.
func (s *Service) touchDaemons() {
	s.daemonsChanged = true
	s.names = nil
}

func (s *Service) now() time.Time { return time.Now() }

func (s *Service) jitter(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

// send hands a message to the bus. Lost messages are made up for by later ones.
func (s *Service) send(to string, m peer.Message) {
	if to == s.self.Name {
		return
	}
	if err := s.cfg.Bus.Send(to, m); err != nil {
		s.cfg.Log.Debug("membership message was not sent", "to", to, "err", err)
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
	s.forgivePause(now)
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
		s.syncWithAny()
	} else if s.syncSoon {
		s.syncWithAny()
	}
	if s.samplesChanged && !s.daemonsChanged {
		s.publishDaemons()
	}
}

func (s *Service) syncWithAny() {
	s.syncSoon = false
	for _, name := range s.randomPeers(1) {
		s.startSync(name)
	}
}

// forgivePause gives all daemons more time after the local process stood
// still: their answers may wait unread.
func (s *Service) forgivePause(now time.Time) {
	gap := now.Sub(s.lastTick)
	s.lastTick = now
	if gap < pauseProbes*s.cfg.ProbeInterval {
		return
	}
	s.metrics.pauses.Inc(1)
	s.cfg.Log.Warn("process stood still", "for", gap)
	clear(s.probes)
	for _, m := range s.members {
		if m.failed == Suspect {
			m.deadline = m.deadline.Add(gap)
		}
	}
}

// rejoinWait is short while no other daemon is known.
func (s *Service) rejoinWait() time.Duration {
	if len(s.liveNames()) == 0 {
		return s.cfg.ProbeInterval
	}
	return rejoinInterval * s.cfg.ProbeInterval
}

// rejoin pings one daemon that is dead or was never met, so that groups that
// were cut from each other find back together.
func (s *Service) rejoin() {
	var lost []string
	for name, m := range s.members {
		if m.failed == Dead {
			lost = append(lost, name)
		}
	}
	for _, seed := range s.cfg.Seeds {
		if s.members[seed.Name] == nil && seed.Name != s.self.Name {
			lost = append(lost, seed.Name)
		}
	}
	for name := range s.listedDaemons {
		if s.members[name] == nil && name != s.self.Name {
			lost = append(lost, name)
		}
	}
	if len(lost) == 0 {
		return
	}
	name := lost[s.rng.IntN(len(lost))]
	s.sendPing(name, s.nextSeq())
	s.startSync(name)
}
