package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

// gatewayState is the scheduler's state of a daemon in its role as a gateway.
type gatewayState struct {
	// held is set while the gateway gets no grants because one expired without
	// an Accept or Decline.
	held bool
	// unanswered counts the grants of each reservation that expired without an
	// Accept or Decline.
	unanswered map[policy.Key]int
	// lastAudit is when the gateway was last asked for its running requests.
	lastAudit time.Time
	// needsAudit is set when messages from the gateway may have been lost.
	needsAudit bool
}

// gatewayFor returns the state of a gateway and creates it if needed.
func (s *Service) gatewayFor(name string) *gatewayState {
	g := s.gateways[name]
	if g == nil {
		g = &gatewayState{unanswered: map[policy.Key]int{}}
		s.gateways[name] = g
	}
	return g
}

// resumeGateway resumes grants to a held gateway.
func (s *Service) resumeGateway(now time.Time, name string) {
	g := s.gateways[name]
	if g == nil || !g.held {
		return
	}
	g.held = false
	s.record(EventGatewayResumed, now, "", &policy.Reservation{Key: policy.Key{Gateway: name}}, nil)
	for _, p := range s.ordered {
		p.SetGatewayHeld(name, false)
	}
}

// holdGateway suspends grants to a gateway that sent neither Accept nor Decline
// for one, so that an unreachable gateway does not block one slot after another
// until each grant expires.
func (s *Service) holdGateway(now time.Time, name string, g *gatewayState) {
	if g.held {
		return
	}
	g.held = true
	g.needsAudit = true
	s.metrics.held.Inc(1)
	s.record(EventGatewayHeld, now, "", &policy.Reservation{Key: policy.Key{Gateway: name}}, nil)
	for _, p := range s.ordered {
		p.SetGatewayHeld(name, true)
	}
}

// onLinkDown marks a gateway for an audit, because its messages may have been lost.
func (s *Service) onLinkDown(_ time.Time, name string) {
	s.gatewayFor(name).needsAudit = true
}

// refreshGateways removes the gateways that have left the cluster and marks new
// ones for an audit.
func (s *Service) refreshGateways(now time.Time) {
	live := map[string]bool{}
	for _, d := range s.cfg.View.Daemons() {
		live[d.Name] = true
		if s.gateways[d.Name] == nil {
			s.gatewayFor(d.Name).needsAudit = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.gateways)) {
		if !live[name] {
			s.removeGateway(now, name)
		}
	}
}

// removeGateway frees the slots and cancels the reservations of a gateway that has
// left the cluster.
func (s *Service) removeGateway(now time.Time, name string) {
	s.resumeGateway(now, name)
	delete(s.gateways, name)
	for _, e := range s.ledger.entriesWhere(func(e *entry) bool { return e.key.Gateway == name }) {
		s.metrics.reclaimed.Inc(1)
		s.release(e)
	}
	for _, p := range s.ordered {
		for _, key := range p.RemoveGateway(name) {
			s.record(EventCanceled, now, p.name, &policy.Reservation{Key: key}, nil)
		}
	}
}
