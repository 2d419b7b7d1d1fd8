package bundle

import (
	"context"
	"time"

	"github.com/jacinththread/jacinththread/peer"
)

const (
	gossipInterval = 250 * time.Millisecond
	// gossipFanout is the number of peers that get a digest at each interval.
	gossipFanout = 2
	// requestTimeout is the longest wait for a requested body before it is
	// requested again.
	requestTimeout = 500 * time.Millisecond
	// joinInterval is the time between questions to all listed peers while the
	// daemon has no version.
	joinInterval = time.Second
)

func (a *Activator) handleMessages() {
	bus := a.cfg.Bus
	bus.Handle(peer.KindBundleDigest, func() peer.Message { return new(GossipDigest) }, a.onDigest)
	bus.Handle(peer.KindBundleRequest, func() peer.Message { return new(GossipRequest) }, a.onRequest)
	bus.Handle(peer.KindBundleBody, func() peer.Message { return new(GossipBody) }, a.onBody)
}

// gossip sends digests until ctx ends.
func (a *Activator) gossip(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	var asked time.Time
	for {
		if a.asksAll(asked) {
			a.sendDigest(a.otherNames())
			asked = time.Now()
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

// asksAll reports whether all listed peers should be asked for their version.
func (a *Activator) asksAll(asked time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.join.done && !a.join.fromStore && time.Since(asked) >= joinInterval
}

// randomPeers returns a few live peers.
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

// sendDigest tells peers which version is in force here.
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

// onDigest asks for a higher version, and answers a lower one.
func (a *Activator) onDigest(from string, m peer.Message) {
	theirs := m.(*GossipDigest).Version
	listed := a.namesToJoin()
	a.mu.Lock()
	a.heardAt = time.Now()
	if !a.join.done {
		a.join.answer(from, theirs)
		a.tryJoin(listed)
	}
	mine := a.version()
	ask := a.wants(theirs)
	if ask {
		a.requested, a.requestedAt = theirs, time.Now()
	}
	a.mu.Unlock()
	switch {
	case ask:
		_ = a.cfg.Bus.Send(from, &GossipRequest{Version: theirs})
	case theirs < mine:
		a.sendDigest([]string{from})
	}
}

// namesToJoin returns the listed peers while the daemon has not joined.
func (a *Activator) namesToJoin() []string {
	a.mu.Lock()
	done := a.join.done
	a.mu.Unlock()
	if done {
		return nil
	}
	return a.otherNames()
}

func (a *Activator) onRequest(from string, m peer.Message) {
	a.mu.Lock()
	body := a.packed
	a.mu.Unlock()
	if body == nil || body.Version < m.(*GossipRequest).Version {
		return
	}
	if a.cfg.Bus.Send(from, body) == nil {
		a.metrics.bodiesSent.Inc(1)
	}
}

// onBody queues a body for its check. One that finds the queue full is
// requested again later.
func (a *Activator) onBody(_ string, m peer.Message) {
	select {
	case a.inbox <- m.(*GossipBody):
	default:
		a.metrics.bodiesDropped.Inc(1)
	}
}

// checkBodies checks received bodies until ctx ends.
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
	r, err := unpackRecord(body)
	if err != nil {
		a.metrics.rejected.Inc(1)
		a.cfg.Log.Error("bundle body rejected", "version", body.Version, "err", err)
		return
	}
	n, err := a.accept(r, body)
	if err == nil && a.offer(n) {
		a.sendDigest(a.randomPeers())
	}
}
