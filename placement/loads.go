package placement

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/peer"
)

const (
	// shareInterval is the time between two messages about loads. A request
	// that is placed on a busy server waits for several of these.
	shareInterval = 80 * time.Millisecond
	// shareFanout bounds the daemons told in a round, so that the messages of a
	// daemon do not grow with the fleet.
	shareFanout = 12
	// loadAge is how long the loads that a daemon told count.
	loadAge = 1500 * time.Millisecond
)

// load is what one daemon has at a server.
type load struct {
	Server  string
	Started int64
	// Running counts requests, Tight those of them whose events must come in
	// quick succession.
	Running int32
	Tight   int32
	// Reading is the number of prompt tokens not read yet.
	Reading int32
	// Parts are the hashes of the shared prompt parts that were sent to the
	// server since the last message.
	Parts []uint64
}

// loads is what one daemon has at all servers.
type loads struct {
	Loads []load
}

// Kind implements peer.Message.
func (*loads) Kind() peer.Kind { return peer.KindServerLoads }

// remote is the sum of what other daemons have at a server.
type remote struct {
	running, tight, reading float64
}

// told is the last message of a daemon.
type told struct {
	when  time.Time
	loads []load
}

// Sharing tells other daemons what the local one has at each server.
type Sharing struct {
	tracker *Tracker
	bus     peer.Bus
	peers   func() []string
	log     *log.Logger
	cancel  context.CancelFunc
	done    chan struct{}
	quiet   bool
	sent    metrics.Counter
}

// NewSharing registers the message handler. Peers lists the live daemons
// without the local one.
func NewSharing(t *Tracker, bus peer.Bus, peers func() []string, logger *log.Logger, registry metrics.Registry) *Sharing {
	s := &Sharing{
		tracker: t, bus: bus, peers: peers, log: logger, done: make(chan struct{}),
		sent: metrics.GetOrRegisterCounter("placement.load_messages", registry),
	}
	bus.Handle(peer.KindServerLoads, func() peer.Message { return new(loads) }, func(from string, m peer.Message) {
		t.hear(from, m.(*loads), time.Now())
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
	tick := time.NewTicker(shareInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.round()
		}
	}
}

// round sends the local loads. A daemon without any says so once.
func (s *Sharing) round() {
	own := s.tracker.own()
	if len(own) == 0 && s.quiet {
		return
	}
	s.quiet = len(own) == 0
	peers := s.peers()
	if len(peers) == 0 {
		return
	}
	m := &loads{Loads: own}
	if len(peers) > shareFanout {
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:shareFanout]
	}
	for _, name := range peers {
		s.sent.Inc(1)
		if err := s.bus.Send(name, m); err != nil {
			s.log.Debug("loads were not sent", "daemon", name, "err", err)
		}
	}
}

// own returns the loads of the local daemon.
func (t *Tracker) own() []load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []load
	for life, st := range t.servers {
		if st.running > 0 || len(st.fresh) > 0 {
			out = append(out, load{
				Server: life.ID, Started: life.Started,
				Running: int32(st.running), Tight: int32(st.tight), Reading: int32(st.reading), Parts: st.fresh,
			})
			st.fresh = nil
		}
	}
	return out
}

// hear takes over the loads of another daemon.
func (t *Tracker) hear(from string, m *loads, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told[from] = told{when: now, loads: m.Loads}
	t.sumRemote(now)
	for _, l := range m.Loads {
		if len(l.Parts) > 0 {
			t.state(backend.Life{ID: l.Server, Started: l.Started}).note(l.Parts, now)
		}
	}
}

// sumRemote adds up what other daemons told lately.
func (t *Tracker) sumRemote(now time.Time) {
	clear(t.remote)
	for name, m := range t.told {
		if now.Sub(m.when) > loadAge {
			delete(t.told, name)
			continue
		}
		for _, l := range m.loads {
			life := backend.Life{ID: l.Server, Started: l.Started}
			r := t.remote[life]
			r.running += float64(l.Running)
			r.tight += float64(l.Tight)
			r.reading += float64(l.Reading)
			t.remote[life] = r
		}
	}
}
