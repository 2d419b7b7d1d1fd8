// Package peertest provides an in-memory network of peer buses for tests. It
// starts no goroutine that outlives a delivery, so it works inside bubbles of
// testing/synctest. Messages are encoded and decoded as on a real link.
package peertest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/peer"
)

// DefaultLinkDownAfter is the time until a bus reports a link that carries
// nothing.
const DefaultLinkDownAfter = 3 * time.Second

// Network connects buses by name. Its settings may change at any time.
type Network struct {
	mu            sync.Mutex
	rng           *rand.Rand
	delay         time.Duration
	jitter        time.Duration
	dropShare     float64
	doubleShare   float64
	linkDownAfter time.Duration
	buses         map[string]*bus
	links         map[pair]*link
	stats         map[string]*Stats
}

// pair names the two ends of a one-way link.
type pair struct{ from, to string }

// Stats counts what one node sent and received, whole frames included.
type Stats struct {
	MessagesSent     int
	BytesSent        int
	MessagesReceived int
	BytesReceived    int
	// SentByKind counts the bytes sent by message kind.
	SentByKind map[peer.Kind]int
}

// NewNetwork returns a network without delay or loss. The seed fixes what is
// dropped, doubled and delayed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rng:           rand.New(rand.NewPCG(seed, seed)),
		linkDownAfter: DefaultLinkDownAfter,
		buses:         map[string]*bus{},
		links:         map[pair]*link{},
		stats:         map[string]*Stats{},
	}
}

// SetDelay sets the one-way delay of all links: delay plus up to jitter. With
// jitter, messages may overtake each other.
func (n *Network) SetDelay(delay, jitter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay, n.jitter = delay, jitter
}

// SetLoss sets the shares of messages that are dropped and delivered twice,
// 0 to 1. Messages of a node to itself are exempt.
func (n *Network) SetLoss(dropped, doubled float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropShare, n.doubleShare = dropped, doubled
}

// SetLinkDownAfter sets the time from a cut or removal until the sending bus
// calls its OnLinkDown callbacks.
func (n *Network) SetLinkDownAfter(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkDownAfter = d
}

// Bus returns the bus of a name. A name that was removed gets a new bus, as a
// replaced host would.
func (n *Network) Bus(name string) peer.Bus {
	n.mu.Lock()
	defer n.mu.Unlock()
	if b := n.buses[name]; b != nil {
		return b
	}
	b := &bus{net: n, name: name}
	n.buses[name] = b
	return b
}

// Cut loses all messages from one node to another until Heal.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	n.link(from, to).cut = true
	n.mu.Unlock()
	n.reportLinkDown(from, to)
}

// Heal ends a Cut.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(from, to).cut = false
}

// Pause holds all messages from and to a node until Resume, as the network
// does for a stopped process.
func (n *Network) Pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if b := n.buses[name]; b != nil {
		b.paused = true
	}
}

// Resume delivers what Pause held.
func (n *Network) Resume(name string) {
	n.mu.Lock()
	b := n.buses[name]
	if b == nil {
		n.mu.Unlock()
		return
	}
	b.paused = false
	held := b.held
	b.held = nil
	n.mu.Unlock()
	for _, m := range held {
		n.schedule(m)
	}
}

// Remove takes a node off the network for good. Its bus neither sends nor
// receives, and the nodes that sent to it hear of the lost link.
func (n *Network) Remove(name string) {
	n.mu.Lock()
	if b := n.buses[name]; b != nil {
		b.removed = true
		b.held = nil
	}
	delete(n.buses, name)
	var senders []string
	for p := range n.links {
		if p.to == name {
			senders = append(senders, p.from)
		}
	}
	n.mu.Unlock()
	for _, s := range senders {
		n.reportLinkDown(s, name)
	}
}

// Stats returns a copy of what a name sent and received, over all its buses.
func (n *Network) Stats(name string) Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := *n.statsOf(name)
	byKind := make(map[peer.Kind]int, len(s.SentByKind))
	for k, v := range s.SentByKind {
		byKind[k] = v
	}
	s.SentByKind = byKind
	return s
}

// statsOf returns the counters of a name. The caller holds the lock.
func (n *Network) statsOf(name string) *Stats {
	s := n.stats[name]
	if s == nil {
		s = &Stats{SentByKind: map[peer.Kind]int{}}
		n.stats[name] = s
	}
	return s
}

// link returns the one-way link of two names. The caller holds the lock.
func (n *Network) link(from, to string) *link {
	p := pair{from, to}
	l := n.links[p]
	if l == nil {
		l = &link{}
		n.links[p] = l
	}
	return l
}

// reportLinkDown calls the callbacks of from unless the link heals first.
func (n *Network) reportLinkDown(from, to string) {
	n.mu.Lock()
	after := n.linkDownAfter
	n.mu.Unlock()
	time.AfterFunc(after, func() {
		n.mu.Lock()
		b := n.buses[from]
		down := n.link(from, to).cut || n.buses[to] == nil
		n.mu.Unlock()
		if b != nil && down {
			b.linkDown(to)
		}
	})
}
