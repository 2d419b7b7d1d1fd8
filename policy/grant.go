package policy

import "time"

// Why a slot is offered in this order: first the allowance, because it is rare
// and paid for in advance by the estimates; then the tiers strictly; within the
// tier an owner whose servers are free and who uses less than its share of them
// comes first, so that lent capacity returns as slots free and none stays idle.

// Next takes the next reservation that fits a free slot and occupies it.
func (p *Pool) Next(now time.Time) (Pick, bool) {
	for p.queue.Len() > 0 {
		p.survey(now)
		if len(p.free) == 0 {
			p.surveyExpress(now)
		}
		if len(p.free) == 0 {
			return Pick{}, false
		}
		pick, ok := p.take(now)
		if !ok {
			return Pick{}, false
		}
		if p.tooLate(now, &pick) {
			p.queue.Refund(&pick.Reservation)
			p.withdraw(now, pick.Reservation, RefusedDeadline)
			continue
		}
		p.grant(now, &pick)
		return pick, true
	}
	return Pick{}, false
}

// tooLate reports whether a pick is no longer worth serving. The allowance
// serves a request that missed its deadline, but none beyond its class's bound.
func (p *Pool) tooLate(now time.Time, pick *Pick) bool {
	r := &pick.Reservation
	if pick.Allowance {
		return p.classes[r.Class].overdue(now, r)
	}
	return p.late(now, r)
}

// take removes the next reservation from the queue.
func (p *Pool) take(now time.Time) (Pick, bool) {
	if class := p.dueClass(now); class != "" && p.express == Tiers {
		if r, ok := p.queue.PopClass(class, p.fits); ok {
			return Pick{Reservation: r, Allowance: true}, true
		}
	}
	r, ok := p.queue.Pop(p.claims, p.fits)
	return Pick{Reservation: r}, ok
}

// grant occupies the best free server for the reservation.
func (p *Pool) grant(now time.Time, pick *Pick) {
	r := &pick.Reservation
	s := pickServer(p.free, p.servers, r)
	pick.Server = s.Name
	p.occupy(s, r.Owner, r.Class)
	s.Health.Probe(now)
	if pick.Allowance {
		p.allowance.Charge(p.load.Service())
	}
	p.classes[r.Class].served(now, p.queue.WaitingOf(r.Class))
}

// dueClass returns the class that the allowance serves next, or "": of the due
// classes the one without service for longest, so that none takes two turns
// while another waits for its first. A class of the highest waiting tier needs
// no allowance.
func (p *Pool) dueClass(now time.Time) string {
	if p.spec.Disabled.Allowance || !p.allowance.Ready(now, p.slots) {
		return ""
	}
	top := p.highestWaiting()
	var due *classClock
	most := -1.0
	for _, c := range p.ordered {
		if c.spec.Tier <= top || c.queue.len() == 0 || !c.due(now, c.queue.top().Arrived) {
			continue
		}
		if u := c.unserved(now); u > most {
			due, most = c, u
		}
	}
	if due == nil {
		return ""
	}
	return due.spec.Name
}

func (p *Pool) highestWaiting() int {
	for t := range Tiers {
		if p.queue.Waiting(t) > 0 {
			return t
		}
	}
	return Tiers
}

// survey finds the free servers and the owners that may claim one of them.
func (p *Pool) survey(now time.Time) {
	p.free = p.free[:0]
	p.express = Tiers
	p.claims = p.claims[:0]
	p.slots = 0
	for _, s := range p.servers {
		if !s.Leaving {
			p.slots += s.Slots.Limit()
		}
		if s.used < s.capacity(now) {
			p.free = append(p.free, s)
		}
	}
	for _, s := range p.free {
		if p.mayClaim(s.Owner) {
			p.claims = append(p.claims, s.Owner)
		}
	}
}

// mayClaim reports whether an owner uses less than its share of its servers.
func (p *Pool) mayClaim(owner string) bool {
	share := p.spec.Owners[owner]
	if owner == "" || share <= 0 {
		return false
	}
	for _, c := range p.claims {
		if c == owner {
			return false
		}
	}
	slots, own := 0, 0
	for _, s := range p.servers {
		if s.Owner == owner {
			slots += s.Slots.Limit()
			own += s.own
		}
	}
	return float64(own) < share*float64(slots)
}

func (p *Pool) occupy(s *Server, owner, class string) {
	s.used++
	s.running[class]++
	if owner != "" && owner == s.Owner {
		s.own++
	}
	s.Slots.Used(s.used)
}

// Occupy counts a slot that is in use without a grant of this pool. The class
// may be empty if it is not known.
func (p *Pool) Occupy(server, owner, class string) {
	if s := p.Server(server); s != nil {
		p.occupy(s, owner, class)
	}
}

// Release returns a slot; owner is that of the customer who used it, and class
// the one it was occupied with.
func (p *Pool) Release(server, owner, class string) {
	s := p.Server(server)
	if s == nil || s.used == 0 {
		return
	}
	s.used--
	if s.running[class] > 0 {
		s.running[class]--
	}
	if owner != "" && owner == s.Owner && s.own > 0 {
		s.own--
	}
}

// Declined books a grant whose request ran elsewhere.
func (p *Pool) Declined(r *Reservation) {
	p.queue.Refund(r)
	p.load.Left(false)
}

// Accepted books a grant that was used.
func (p *Pool) Accepted() { p.load.Left(true) }

// Finished is a request that ran to its end.
type Finished struct {
	Server string
	Class  string
	Cost   uint32
	// Took is the time the slot was in use.
	Took        time.Duration
	Observation Observation
	// Allowance is set if the slot was granted out of tier order.
	Allowance bool
	// Canceled is set if the work was ended early by the caller.
	Canceled bool
}

// Observe learns from a finished request.
func (p *Pool) Observe(now time.Time, f Finished) {
	if f.Allowance {
		p.allowance.Charge(f.Took - p.load.Service())
	}
	if f.Canceled {
		return
	}
	if !f.Observation.Failed {
		p.load.Finished(f.Took, f.Cost)
	}
	s := p.Server(f.Server)
	if s == nil {
		return
	}
	if clock := p.classes[f.Class]; clock != nil {
		f.Observation.Target = clock.spec.Target
		clock.first.observe(f.Observation.FirstToken)
	}
	f.Observation.Started = now.Add(-f.Took)
	if !p.spec.Disabled.Stragglers {
		s.Health.Observe(now, f.Observation, p.reference(f.Observation.Target))
	}
	if s.Health.State() == Healthy {
		f.Observation.Target.TokenGap = p.strictestGap
		s.Slots.Observe(now, f.Observation)
	}
	s.Health.Settle(s.Slots.Limit())
}

// reference is the token gap expected of a sound server of the pool.
func (p *Pool) reference(target Target) time.Duration {
	p.gaps = p.gaps[:0]
	for _, s := range p.servers {
		if gap, ok := s.Health.Gap(); ok {
			p.gaps = append(p.gaps, gap)
		}
	}
	return Reference(p.gaps, target.TokenGap)
}

// Overdue reports whether a running request takes far longer than its cost
// explains.
func (p *Pool) Overdue(age time.Duration, cost uint32) bool { return p.load.Overdue(age, cost) }

// Suspect isolates a server on which too many of the running requests are
// overdue, before they finish and tell its speed.
func (p *Pool) Suspect(now time.Time, server string, overdue int) {
	s := p.Server(server)
	if s != nil && !p.spec.Disabled.Stragglers && overdue >= minOverdue && 2*overdue >= s.used {
		s.Health.Suspect(now)
	}
}
