package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/policy"
)

// gateway is what the scheduler knows of a daemon in its role as gateway.
type gateway struct {
	// held is set while the gateway does not answer grants.
	held bool
	// lost counts the unanswered grants of each reservation.
	lost map[policy.Key]int
	// audited is when the gateway was last asked what it runs.
	audited time.Time
	// suspect is set when messages of the gateway may have been lost.
	suspect bool
}

func (s *Service) gateway(name string) *gateway {
	g := s.gateways[name]
	if g == nil {
		g = &gateway{lost: map[policy.Key]int{}}
		s.gateways[name] = g
	}
	return g
}

// heardFrom resumes grants to a gateway.
func (s *Service) heardFrom(now time.Time, name string) {
	g := s.gateways[name]
	if g == nil || !g.held {
		return
	}
	g.held = false
	s.record(EventResumed, now, "", &policy.Reservation{Key: policy.Key{Gateway: name}}, nil)
	for _, p := range s.ordered {
		p.Hold(name, false)
	}
}

// hold stops grants to a gateway that did not answer one, so that a cut-off
// gateway does not block slots again and again.
func (s *Service) hold(now time.Time, name string, g *gateway) {
	if g.held {
		return
	}
	g.held = true
	g.suspect = true
	s.metrics.held.Inc(1)
	s.record(EventHeld, now, "", &policy.Reservation{Key: policy.Key{Gateway: name}}, nil)
	for _, p := range s.ordered {
		p.Hold(name, true)
	}
}

// linkDown notes that messages of the gateway may have been lost.
func (s *Service) linkDown(_ time.Time, name string) {
	s.gateway(name).suspect = true
}

// refreshGateways frees what gateways hold that are gone, and asks new ones
// what they run.
func (s *Service) refreshGateways(now time.Time) {
	live := map[string]bool{}
	for _, d := range s.cfg.View.Daemons() {
		live[d.Name] = true
		if s.gateways[d.Name] == nil {
			s.gateway(d.Name).suspect = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.gateways)) {
		if !live[name] {
			s.dropGateway(now, name)
		}
	}
}

func (s *Service) dropGateway(now time.Time, name string) {
	s.heardFrom(now, name)
	delete(s.gateways, name)
	for _, e := range s.ledger.matching(func(e *entry) bool { return e.key.Gateway == name }) {
		s.metrics.reclaimed.Inc(1)
		s.release(e)
	}
	for _, p := range s.ordered {
		for _, key := range p.Drop(name) {
			s.record(EventCanceled, now, p.name, &policy.Reservation{Key: key}, nil)
		}
	}
}
