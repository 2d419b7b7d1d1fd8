package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// resendMult bounds how often an update travels, together with the
	// logarithm of the number of daemons.
	resendMult = 3
	// rumourProbes is how long an update travels at most, in probe intervals.
	// The exchange of the whole state makes up for what did not get through.
	rumourProbes = 20
	// piggybackBytes bounds the updates in a probe message.
	piggybackBytes = 500
	// urgentBytes bounds the updates in one urgent message.
	urgentBytes = 1000
	// urgentMargin makes it unlikely that an urgent update misses any daemon:
	// with a fan-out of ln n + c, one of n is missed with a probability of e^-c.
	urgentMargin = 3
	// urgentDelay gathers urgent updates into one message.
	urgentDelay = 10 * time.Millisecond
	// samplesPerMessage is the number of load samples in a probe message.
	samplesPerMessage = 6
)

// key names the subject of an update.
type key struct {
	server bool
	name   string
}

func daemonKey(name string) key { return key{name: name} }

func serverKey(name string) key { return key{server: true, name: name} }

// rumour counts how often an update was sent.
type rumour struct {
	key   key
	since time.Time
	sent  int
}

// spread sends the current record of a subject along with probe messages.
func (s *Service) spread(k key) {
	s.rumours = slices.DeleteFunc(s.rumours, func(r rumour) bool { return r.key == k })
	s.rumours = append(s.rumours, rumour{key: k, since: s.now()})
}

// spreadNow also sends it at once to some random daemons, which do the same when
// they learn it.
func (s *Service) spreadNow(k key) {
	s.spread(k)
	if !slices.Contains(s.urgent, k) {
		s.urgent = append(s.urgent, k)
	}
	if !s.urgentPending {
		s.urgentPending = true
		time.AfterFunc(urgentDelay, s.sendUrgent)
	}
}

// sendUrgent sends the gathered urgent updates.
func (s *Service) sendUrgent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.urgentPending = false
	if s.stopped {
		return
	}
	var u updates
	room := urgentBytes
	for len(s.urgent) > 0 && s.addUpdate(&u, s.urgent[0], &room) {
		s.urgent = s.urgent[1:]
	}
	for _, name := range s.randomPeers(urgentFanout(s.liveCount())) {
		s.metrics.urgentSent.Inc(1)
		s.send(name, &gossip{Updates: u})
	}
	if len(s.urgent) > 0 {
		s.urgentPending = true
		time.AfterFunc(urgentDelay, s.sendUrgent)
	}
}

// urgentFanout is the number of daemons that get an urgent update from each of
// n daemons that learns it.
func urgentFanout(n int) int {
	return urgentMargin + int(math.Ceil(math.Log(float64(n))))
}

// addUpdate adds the current record of a subject. It reports false if the room
// does not suffice.
func (s *Service) addUpdate(u *updates, k key, room *int) bool {
	if k.server {
		if r, ok := s.servers[k.name]; ok {
			if *room < r.size() {
				return false
			}
			*room -= r.size()
			u.Servers = append(u.Servers, *r)
		}
		return true
	}
	r := s.self
	if k.name != s.self.Name {
		m := s.members[k.name]
		if m == nil {
			return true
		}
		r = m.observed()
	}
	if *room < r.size() {
		return false
	}
	*room -= r.size()
	u.Daemons = append(u.Daemons, r)
	return true
}

// piggyback picks the updates for a probe message to a daemon: what is said
// about that daemon itself, so that it can refute, then the updates that were
// sent least often.
func (s *Service) piggyback(to string) updates {
	var u updates
	room := piggybackBytes
	if m := s.members[to]; m != nil && m.failed != 0 {
		s.addUpdate(&u, daemonKey(to), &room)
	}
	slices.SortStableFunc(s.rumours, func(a, b rumour) int { return a.sent - b.sent })
	for i := range s.rumours {
		if !s.addUpdate(&u, s.rumours[i].key, &room) {
			break
		}
		s.rumours[i].sent++
	}
	s.dropRumours()
	u.Samples = s.pickSamples()
	return u
}

// dropRumours drops the updates that were sent often enough or are old.
func (s *Service) dropRumours() {
	limit := resendLimit(s.liveCount())
	oldest := s.now().Add(-rumourProbes * s.cfg.ProbeInterval)
	s.rumours = slices.DeleteFunc(s.rumours, func(r rumour) bool {
		return r.sent >= limit || r.since.Before(oldest)
	})
}

// resendLimit is how often an update is sent by each of n daemons.
func resendLimit(n int) int {
	return resendMult * int(math.Ceil(math.Log2(float64(n+1))))
}

// pickSamples returns the local load and that of a few random daemons.
func (s *Service) pickSamples() []sample {
	out := []sample{s.ownSample()}
	for _, name := range s.randomPeers(samplesPerMessage - 1) {
		if m := s.members[name]; m.sample.Seq > 0 {
			out = append(out, m.sample)
		}
	}
	return out
}

func (s *Service) ownSample() sample {
	return sample{
		Name:          s.self.Name,
		Seq:           uint64(s.now().UnixMilli()),
		Load:          s.load.Load(),
		BundleVersion: s.bundleVersion.Load(),
	}
}

// randomPeers returns up to n names of daemons that are not dead.
func (s *Service) randomPeers(n int) []string {
	return s.randomPeersBut(n, "")
}

// randomPeersBut leaves out one name.
func (s *Service) randomPeersBut(n int, but string) []string {
	live := s.liveNames()
	out := make([]string, 0, n)
	for i := range live {
		j := i + s.rng.IntN(len(live)-i)
		live[i], live[j] = live[j], live[i]
		if live[i] != but {
			out = append(out, live[i])
		}
		if len(out) == n {
			break
		}
	}
	// The order of the cached names carries no meaning, so the swaps stay.
	return out
}

// liveNames returns the names of the other daemons that are not dead, in any
// order.
func (s *Service) liveNames() []string {
	if s.names == nil {
		s.names = make([]string, 0, len(s.members))
		for name, m := range s.members {
			if m.failed != Dead {
				s.names = append(s.names, name)
			}
		}
		slices.Sort(s.names)
	}
	return s.names
}

// mergeUpdates takes over the updates of a message.
func (s *Service) mergeUpdates(u *updates) {
	for _, r := range u.Daemons {
		s.mergeDaemon(r)
	}
	for _, r := range u.Servers {
		s.mergeServer(r)
	}
	for _, p := range u.Samples {
		s.mergeSample(p)
	}
}
