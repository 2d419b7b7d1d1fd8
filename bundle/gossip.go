package bundle

import (
	"context"
	"time"

	"github.com/jacinththread/jacinththread/peer"
)

const (
	gossipInterval = 250 * time.Millisecond
	// gossipFanout is the number of peers that a digest is sent to per interval.
	gossipFanout = 2
	// requestTimeout is how long to wait for a requested body before requesting
	// it again.
	requestTimeout = 500 * time.Millisecond
	// joinInterval is the time between digests to all listed peers while the
	// daemon has no version and has not read the store.
	joinInterval = time.Second
)

func (a *Activator) handleMessages() {
	bus := a.cfg.Bus
	bus.Handle(peer.KindBundleDigest, func() peer.Message { return new(GossipDigest) }, a.onDigest)
	bus.Handle(peer.KindBundleRequest, func() peer.Message { return new(GossipRequest) }, a.onRequest)
	bus.Handle(peer.KindBundleBody, func() peer.Message { return new(GossipBody) }, a.onBody)
}

// gossip sends digests periodically until ctx ends.
func (a *Activator) gossip(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	var queriedAt time.Time
	for {
		if a.shouldQueryAll(queriedAt) {
			a.sendDigest(a.peerNames())
			queriedAt = time.Now()
		} else {
			a.sendDigest(a.randomPeers())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// shouldQueryAll reports whether to send a digest to all listed peers. Each peer
// that has a version responds with its own digest. This is needed while the
// daemon is joining without the store.
func (a *Activator) shouldQueryAll(queriedAt time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.join.done && !a.join.storeRead && time.Since(queriedAt) >= joinInterval
}

// randomPeers returns the names of up to gossipFanout random live peers.
func (a *Activator) randomPeers() []string {
	var names []string
	for _, p := range a.cfg.Peers() {
		if p.Live && p.Name != a.cfg.Bus.Self() {
			names = append(names, p.Name)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(gossipFanout, len(names))
	for i := range n {
		j := i + a.rng.IntN(len(names)-i)
		names[i], names[j] = names[j], names[i]
	}
	return names[:n]
}

// sendDigest sends the version in force on this daemon to peers.
func (a *Activator) sendDigest(names []string) {
	a.mu.Lock()
	m := &GossipDigest{Version: a.version()}
	a.mu.Unlock()
	for _, name := range names {
		if a.cfg.Bus.Send(name, m) == nil {
			a.metrics.digestsSent.Inc(1)
		}
	}
}

// onDigest requests the body of a higher version from the sender, and responds
// to a lower version with a digest.
func (a *Activator) onDigest(from string, m peer.Message) {
	remote := m.(*GossipDigest).Version
	listed := a.peersIfJoining()
	a.mu.Lock()
	a.lastDigestAt = time.Now()
	if !a.join.done {
		a.join.recordPeer(from, remote)
		a.tryJoin(listed)
	}
	local := a.version()
	request := a.shouldRequest(remote)
	if request {
		a.requestedVersion, a.requestedAt = remote, time.Now()
	}
	a.mu.Unlock()
	switch {
	case request:
		_ = a.cfg.Bus.Send(from, &GossipRequest{Version: remote})
	case remote < local:
		a.sendDigest([]string{from})
	}
}

// peersIfJoining returns the names of all listed peers, or nil once the daemon
// has joined.
func (a *Activator) peersIfJoining() []string {
	a.mu.Lock()
	done := a.join.done
	a.mu.Unlock()
	if done {
		return nil
	}
	return a.peerNames()
}

// onRequest sends the version in force to a peer that requested it or a lower
// one.
func (a *Activator) onRequest(from string, m peer.Message) {
	a.mu.Lock()
	body := a.body
	a.mu.Unlock()
	if body == nil || body.Version < m.(*GossipRequest).Version {
		return
	}
	if a.cfg.Bus.Send(from, body) == nil {
		a.metrics.bodiesSent.Inc(1)
	}
}

// onBody queues a body for validation. If the queue is full, the body is dropped
// and requested again after a later digest.
func (a *Activator) onBody(_ string, m peer.Message) {
	select {
	case a.inbox <- m.(*GossipBody):
	default:
		a.metrics.bodiesDropped.Inc(1)
	}
}

// checkBodies processes received bodies until ctx ends.
func (a *Activator) checkBodies(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case body := <-a.inbox:
			a.checkBody(body)
		}
	}
}

func (a *Activator) checkBody(body *GossipBody) {
	a.mu.Lock()
	known := max(a.version(), a.join.candidateVersion())
	a.mu.Unlock()
	if body.Version <= known {
		return
	}
	r, err := decodeBody(body)
	if err != nil {
		a.metrics.rejected.Inc(1)
		a.cfg.Log.Error("bundle version from a peer rejected", "version", body.Version, "err", err)
		return
	}
	n, err := a.checkRecord(r, body)
	if err == nil && a.putInForceOrHold(n) {
		a.sendDigest(a.randomPeers())
	}
}
