package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// retransmitMult, times the base-2 logarithm of the number of daemons, is the
	// retransmit limit of an update.
	retransmitMult = 3
	// maxUpdateAgeProbes is how long an update is retransmitted at most, in probe
	// intervals. Full state exchanges deliver the updates that were lost.
	maxUpdateAgeProbes = 20
	// maxPiggybackBytes limits the size of the updates in a probe message.
	maxPiggybackBytes = 500
	// maxUrgentBytes limits the size of the updates in one urgent message.
	maxUrgentBytes = 1000
	// urgentFanoutMargin is c in ln n + c, the fan-out of urgent updates among n
	// daemons. It makes it unlikely that an update misses any daemon: the
	// probability is about e^-c.
	urgentFanoutMargin = 3
	// urgentDelay is how long urgent updates are collected into one message.
	urgentDelay = 10 * time.Millisecond
	// samplesPerMessage limits the load samples in a probe message.
	samplesPerMessage = 6
)

// key identifies the daemon or backend server that an update describes.
type key struct {
	server bool
	name   string
}

func daemonKey(name string) key { return key{name: name} }

func serverKey(name string) key { return key{server: true, name: name} }

// queuedUpdate is an update that waits to be sent along with probe messages.
type queuedUpdate struct {
	key   key
	since time.Time
	sent  int
}

// queueUpdate queues the current record of a daemon or server to be sent along
// with probe messages.
func (s *Service) queueUpdate(k key) {
	s.updateQueue = slices.DeleteFunc(s.updateQueue, func(r queuedUpdate) bool { return r.key == k })
	s.updateQueue = append(s.updateQueue, queuedUpdate{key: k, since: s.now()})
}

// queueUrgent queues a record like queueUpdate and also sends it to random
// daemons within urgentDelay. Each daemon that learns of the change does the
// same.
func (s *Service) queueUrgent(k key) {
	s.queueUpdate(k)
	if !slices.Contains(s.urgent, k) {
		s.urgent = append(s.urgent, k)
	}
	if !s.urgentPending {
		s.urgentPending = true
		time.AfterFunc(urgentDelay, s.sendUrgent)
	}
}

// sendUrgent sends the collected urgent updates. What exceeds one message is
// sent after another urgentDelay.
func (s *Service) sendUrgent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.urgentPending = false
	if s.stopped {
		return
	}
	var u updates
	remaining := maxUrgentBytes
	for len(s.urgent) > 0 && s.addUpdate(&u, s.urgent[0], &remaining) {
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

// urgentFanout returns the number of daemons to which each of n daemons forwards
// an urgent update.
func urgentFanout(n int) int {
	return urgentFanoutMargin + int(math.Ceil(math.Log(float64(n))))
}

// addUpdate appends the current record for a key, if there is one, and subtracts
// its size from the remaining bytes. It returns false if the record does not fit.
func (s *Service) addUpdate(u *updates, k key, remaining *int) bool {
	if k.server {
		if r, ok := s.servers[k.name]; ok {
			if *remaining < r.size() {
				return false
			}
			*remaining -= r.size()
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
	if *remaining < r.size() {
		return false
	}
	*remaining -= r.size()
	u.Daemons = append(u.Daemons, r)
	return true
}

// piggyback selects the updates for a probe message to a daemon: first the
// detected failure of that daemon, if there is one, so that it can refute it,
// then the queued updates that were sent least often.
func (s *Service) piggyback(to string) updates {
	var u updates
	remaining := maxPiggybackBytes
	if m := s.members[to]; m != nil && m.failure != 0 {
		s.addUpdate(&u, daemonKey(to), &remaining)
	}
	slices.SortStableFunc(s.updateQueue, func(a, b queuedUpdate) int { return a.sent - b.sent })
	for i := range s.updateQueue {
		if !s.addUpdate(&u, s.updateQueue[i].key, &remaining) {
			break
		}
		s.updateQueue[i].sent++
	}
	s.dropExpiredUpdates()
	u.Samples = s.pickSamples()
	return u
}

// dropExpiredUpdates removes updates that reached the retransmit limit or the
// maximum age.
func (s *Service) dropExpiredUpdates() {
	limit := retransmitLimit(s.liveCount())
	oldest := s.now().Add(-maxUpdateAgeProbes * s.cfg.ProbeInterval)
	s.updateQueue = slices.DeleteFunc(s.updateQueue, func(r queuedUpdate) bool {
		return r.sent >= limit || r.since.Before(oldest)
	})
}

// retransmitLimit returns how often each of n daemons sends an update.
func retransmitLimit(n int) int {
	return retransmitMult * int(math.Ceil(math.Log2(float64(n+1))))
}

// pickSamples returns the sample of the local daemon and those of a few random
// others.
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

// randomPeers returns the names of up to n random daemons that are not dead.
func (s *Service) randomPeers(n int) []string {
	return s.randomPeersExcept(n, "")
}

// randomPeersExcept is randomPeers without one daemon.
func (s *Service) randomPeersExcept(n int, except string) []string {
	live := s.liveNames()
	out := make([]string, 0, n)
	for i := range live {
		j := i + s.rng.IntN(len(live)-i)
		live[i], live[j] = live[j], live[i]
		if live[i] != except {
			out = append(out, live[i])
		}
		if len(out) == n {
			break
		}
	}
	// The shuffle changes the cached slice, whose order has no meaning.
	return out
}

// liveNames returns the names of the other daemons that are not dead, in any
// order.
func (s *Service) liveNames() []string {
	if s.liveCache == nil {
		s.liveCache = make([]string, 0, len(s.members))
		for name, m := range s.members {
			if m.failure != Dead {
				s.liveCache = append(s.liveCache, name)
			}
		}
		slices.Sort(s.liveCache)
	}
	return s.liveCache
}

// mergeUpdates applies the updates of a message.
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
