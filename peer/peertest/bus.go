package peertest

import "github.com/jacinththread/jacinththread/peer"

// bus implements peer.Bus for one node of a Network.
type bus struct {
	net      *Network
	name     string
	handlers peer.Handlers
	linkDown peer.LinkDownCallbacks

	// The fields below are guarded by the network's lock.
	paused  bool
	removed bool
	held    []envelope
}

// Self implements peer.Bus.
func (b *bus) Self() string { return b.name }

// Handle implements peer.Bus.
func (b *bus) Handle(kind peer.Kind, factory func() peer.Message, h peer.Handler) {
	b.handlers.Register(kind, factory, h)
}

// OnLinkDown implements peer.Bus.
func (b *bus) OnLinkDown(f func(name string)) { b.linkDown.Add(f) }

// Send implements peer.Bus. Messages to a removed node are dropped.
func (b *bus) Send(to string, m peer.Message) error { return b.SendAll([]string{to}, m) }

// SendAll implements peer.Bus.
func (b *bus) SendAll(to []string, m peer.Message) error {
	frame, err := peer.AppendFrame(nil, m)
	if err != nil {
		return err
	}
	var first error
	for _, name := range to {
		if err := b.sendFrame(name, m.Kind(), frame); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// sendFrame sends an encoded message to one node.
func (b *bus) sendFrame(to string, kind peer.Kind, frame []byte) error {
	n := b.net
	n.mu.Lock()
	copies, dest, err := n.route(b, to, kind, len(frame))
	if copies > 0 && b.paused {
		for range copies {
			b.held = append(b.held, envelope{from: b, to: dest, frame: frame})
		}
		copies = 0
	}
	n.mu.Unlock()
	for range copies {
		n.schedule(envelope{from: b, to: dest, frame: frame})
	}
	return err
}

// route counts a message and returns the number of copies to deliver and their
// destination. The number is zero for a dropped message and two for a duplicated
// one. The caller holds the network's lock.
func (n *Network) route(b *bus, to string, kind peer.Kind, size int) (int, *bus, error) {
	if b.removed {
		return 0, nil, peer.ErrClosed
	}
	dest := n.buses[to]
	if dest == nil && n.links[pair{b.name, to}] == nil {
		return 0, nil, peer.ErrUnknownPeer
	}
	l := n.link(b.name, to)
	if to == b.name {
		return 1, dest, nil
	}
	s := n.statsOf(b.name)
	s.MessagesSent++
	s.BytesSent += size
	s.SentByKind[kind] += size
	if dest == nil || l.cut || n.rng.Float64() < n.dropRate {
		return 0, dest, nil
	}
	if n.rng.Float64() < n.duplicateRate {
		return 2, dest, nil
	}
	return 1, dest, nil
}

// SendEach implements peer.Bus.SendAll by a Send function. It returns the first error.
func SendEach(send func(to string, m peer.Message) error, to []string, m peer.Message) error {
	var first error
	for _, name := range to {
		if err := send(name, m); err != nil && first == nil {
			first = err
		}
	}
	return first
}
