package policy

import "time"

// Why express slots: requests are not taken off a server for others, so when
// long answers of a lower tier hold all slots, a request of a higher tier waits
// for one of them to end, which may take longer than its target. Engines batch
// and honor priorities, so a server can take a few requests beyond its slots at
// the price of slightly slower tokens. Only a higher tier than the lowest one
// running there may use them, so no slot stays idle for it and no tier can push
// itself ahead with them.

// expressShare is the part of a server's slots that may be granted on top.
const expressShare = 0.25

// surveyExpress finds the servers that may take a request of the highest
// waiting tier beyond their slots.
func (p *Pool) surveyExpress(now time.Time) {
	if !p.spec.Batches || p.spec.Disabled.Express {
		return
	}
	top := p.highestWaiting()
	for _, s := range p.servers {
		n := s.capacity(now)
		if n == 0 || s.Health.State() != Healthy {
			continue
		}
		if s.used < n+expressSlots(n) && p.lowestRunning(s) > top {
			p.free = append(p.free, s)
		}
	}
	p.express = top
}

func expressSlots(slots int) int { return int(float64(slots) * expressShare) }

// lowestRunning returns the lowest tier that runs on a server, or -1.
func (p *Pool) lowestRunning(s *Server) int {
	lowest := -1
	for class, n := range s.running {
		if clock := p.classes[class]; clock != nil && n > 0 {
			lowest = max(lowest, clock.spec.Tier)
		}
	}
	return lowest
}
