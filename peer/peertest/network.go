// Package peertest provides an in-memory network of peer buses for tests. It
// starts no goroutine that outlives a delivery, so it works inside
// testing/synctest bubbles. Messages are encoded and decoded as on a real link.
package peertest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/peer"
)

// DefaultLinkDownAfter is the default time until a bus reports a link that was
// cut or whose peer was removed.
const DefaultLinkDownAfter = 3 * time.Second

// Network connects buses by name. Its settings may be changed at any time.
type Network struct {
	mu            sync.Mutex
	rng           *rand.Rand
	delay         time.Duration
	jitter        time.Duration
	dropRate      float64
	duplicateRate float64
	linkDownAfter time.Duration
	buses         map[string]*bus
	links         map[pair]*link
	stats         map[string]*Stats
}

// pair identifies a one-way link by the names of its ends.
type pair struct{ from, to string }

// Stats counts the messages that one node sent and received. Byte counts are of
// whole frames, including their headers.
type Stats struct {
	MessagesSent     int
	BytesSent        int
	MessagesReceived int
	BytesReceived    int
	// SentByKind counts the bytes sent by message kind.
	SentByKind map[peer.Kind]int
}

// NewNetwork returns a network without delay or loss. The seed determines which
// messages are dropped and duplicated, and how long each is delayed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rng:           rand.New(rand.NewPCG(seed, seed)),
		linkDownAfter: DefaultLinkDownAfter,
		buses:         map[string]*bus{},
		links:         map[pair]*link{},
		stats:         map[string]*Stats{},
	}
}

// SetDelay sets the one-way delay of all links to delay plus a random time below
// jitter. With jitter, messages may be reordered.
func (n *Network) SetDelay(delay, jitter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay, n.jitter = delay, jitter
}

// SetLoss sets the probabilities, from 0 to 1, that a message is dropped and that
// a message which isn't dropped is delivered twice. Messages of a node to itself
// are exempt.
func (n *Network) SetLoss(drop, duplicate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropRate, n.duplicateRate = drop, duplicate
}

// SetLinkDownAfter sets the time from a Cut or Remove until the sending bus calls
// its OnLinkDown callbacks.
func (n *Network) SetLinkDownAfter(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkDownAfter = d
}

// Bus returns the bus with the given name and creates it if there is none. A
// removed name gets a new bus, as a replaced host would.
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

// Cut drops all messages from one node to another until Heal is called. The
// opposite direction isn't affected.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	n.link(from, to).cut = true
	n.mu.Unlock()
	n.reportLinkDown(from, to)
}

// Heal reverts a Cut.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(from, to).cut = false
}

// Pause holds all messages from and to a node until Resume is called. This
// simulates a suspended process.
func (n *Network) Pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if b := n.buses[name]; b != nil {
		b.paused = true
	}
}

// Resume ends a Pause and delivers the messages that were held.
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

// Remove permanently removes a node from the network. Its bus no longer sends or
// receives, and the nodes that sent messages to it are notified of the failed
// link.
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

// Stats returns a copy of the counters of a name. They cover all buses that had
// the name, including removed ones.
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

// statsOf returns the counters of a name. The caller holds the network's lock.
func (n *Network) statsOf(name string) *Stats {
	s := n.stats[name]
	if s == nil {
		s = &Stats{SentByKind: map[peer.Kind]int{}}
		n.stats[name] = s
	}
	return s
}

// link returns the link from one name to another and creates it if there is none.
// The caller holds the network's lock.
func (n *Network) link(from, to string) *link {
	p := pair{from, to}
	l := n.links[p]
	if l == nil {
		l = &link{}
		n.links[p] = l
	}
	return l
}

// reportLinkDown calls the OnLinkDown callbacks of from after linkDownAfter, unless
// the link works again by then.
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
			b.linkDown.Notify(to)
		}
	})
}
