package policy

import "time"

// Express slots let a request of a higher tier start while requests of a lower
// tier use all slots. Running requests aren't preempted, so the request would
// otherwise wait for one of them to end, which may take longer than its target.
// Engines batch requests and honor priorities, so a server can run a few requests
// beyond its slots at the cost of slightly slower tokens. Only a tier higher than
// the lowest one running on the server may use its express slots. No slot is
// therefore kept idle for a higher tier, and no tier can use express slots to get
// more capacity while only requests of its own or a higher tier run.

// expressShare is the number of express slots relative to the slots of a server.
const expressShare = 0.25

// findExpressServers finds the servers with a free express slot for a request of
// the highest waiting tier.
func (p *Pool) findExpressServers(now time.Time) {
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
			p.freeServers = append(p.freeServers, s)
		}
	}
	p.expressTier = top
}

func expressSlots(slots int) int { return int(float64(slots) * expressShare) }

// lowestRunning returns the lowest tier running on a server, which has the
// highest number, or -1 if no request of a known class runs there.
func (p *Pool) lowestRunning(s *Server) int {
	lowest := -1
	for class, n := range s.usedByClass {
		if state := p.classes[class]; state != nil && n > 0 {
			lowest = max(lowest, state.spec.Tier)
		}
	}
	return lowest
}
