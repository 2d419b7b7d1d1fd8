package policy

import "time"

// A free slot is offered in this order: first to the starvation allowance, which
// is rarely due and which the wait estimates already account for; then strictly
// by tier; and within a tier first to the customers of an owner that has a free
// server and uses less than its share of its servers. Owners thus get lent
// capacity back as slots become free, and no slot stays idle for them.

// Next grants a free slot to the next reservation that fits one. It returns false
// if there is none.
func (p *Pool) Next(now time.Time) (Pick, bool) {
	for p.queue.Len() > 0 {
		p.findFreeServers(now)
		if len(p.freeServers) == 0 {
			p.findExpressServers(now)
		}
		if len(p.freeServers) == 0 {
			return Pick{}, false
		}
		pick, ok := p.popNext(now)
		if !ok {
			return Pick{}, false
		}
		if p.pickExpired(now, &pick) {
			p.queue.Refund(&pick.Reservation)
			p.refuseWaiting(now, pick.Reservation, RefusedDeadline)
			continue
		}
		p.grant(now, &pick)
		return pick, true
	}
	return Pick{}, false
}

// pickExpired reports whether a pick is too late to be served. The starvation
// allowance serves requests that missed their deadline, but none that exceeds the
// starvation bound of its class.
func (p *Pool) pickExpired(now time.Time, pick *Pick) bool {
	r := &pick.Reservation
	if pick.Allowance {
		return p.classes[r.Class].exceedsBound(now, r)
	}
	return p.expired(now, r)
}

// popNext removes the next reservation that fits a free server from the queue.
func (p *Pool) popNext(now time.Time) (Pick, bool) {
	if class := p.dueClass(now); class != "" && p.expressTier == Tiers {
		if r, ok := p.queue.PopClass(class, p.fitsFree); ok {
			return Pick{Reservation: r, Allowance: true}, true
		}
	}
	r, ok := p.queue.Pop(p.claimingOwners, p.fitsFree)
	return Pick{Reservation: r}, ok
}

// grant occupies a slot of the best free server for the reservation.
func (p *Pool) grant(now time.Time, pick *Pick) {
	r := &pick.Reservation
	s := pickServer(p.freeServers, p.servers, r)
	pick.Server = s.Name
	p.occupy(s, r.Owner, r.Class)
	s.Health.RecordProbe(now)
	if pick.Allowance {
		p.allowance.Charge(p.load.Service())
	}
	p.classes[r.Class].recordGrant(now, p.queue.WaitingInClass(r.Class))
}

// dueClass returns the class that the starvation allowance serves next, or "". It
// is the due class that has gone unserved for the longest time relative to its
// bound, so that no class is served twice while another due class waits. A class
// of the highest waiting tier needs no allowance.
func (p *Pool) dueClass(now time.Time) string {
	if p.spec.Disabled.Allowance || !p.allowance.Ready(now, p.slots) {
		return ""
	}
	top := p.highestWaiting()
	var due *classState
	most := -1.0
	for _, c := range p.orderedClasses {
		if c.spec.Tier <= top || c.queue.len() == 0 || !c.dueForAllowance(now, c.queue.top().Arrived) {
			continue
		}
		if u := c.unservedShare(now); u > most {
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

// findFreeServers finds the servers with free slots and the owners that may claim
// one of them, and counts the slots.
func (p *Pool) findFreeServers(now time.Time) {
	p.freeServers = p.freeServers[:0]
	p.expressTier = Tiers
	p.claimingOwners = p.claimingOwners[:0]
	p.slots = 0
	for _, s := range p.servers {
		if !s.Leaving {
			p.slots += s.Slots.Limit()
		}
		if s.used < s.capacity(now) {
			p.freeServers = append(p.freeServers, s)
		}
	}
	for _, s := range p.freeServers {
		if p.mayClaim(s.Owner) {
			p.claimingOwners = append(p.claimingOwners, s.Owner)
		}
	}
}

// mayClaim reports whether an owner, not yet among claimingOwners, uses less than
// its share of the slots of its servers.
func (p *Pool) mayClaim(owner string) bool {
	share := p.spec.Owners[owner]
	if owner == "" || share <= 0 {
		return false
	}
	for _, c := range p.claimingOwners {
		if c == owner {
			return false
		}
	}
	slots, used := 0, 0
	for _, s := range p.servers {
		if s.Owner == owner {
			slots += s.Slots.Limit()
			used += s.ownerUsed
		}
	}
	return float64(used) < share*float64(slots)
}

func (p *Pool) occupy(s *Server, owner, class string) {
	s.used++
	s.usedByClass[class]++
	if owner != "" && owner == s.Owner {
		s.ownerUsed++
	}
	s.Slots.RecordUsed(s.used)
}

// Occupy counts a slot that is in use without a grant of this pool. The class is
// empty if unknown.
func (p *Pool) Occupy(server, owner, class string) {
	if s := p.Server(server); s != nil {
		p.occupy(s, owner, class)
	}
}

// Release frees a slot. The owner is that of the customer who used it, and the
// class is the one that it was occupied with.
func (p *Pool) Release(server, owner, class string) {
	s := p.Server(server)
	if s == nil || s.used == 0 {
		return
	}
	s.used--
	if s.usedByClass[class] > 0 {
		s.usedByClass[class]--
	}
	if owner != "" && owner == s.Owner && s.ownerUsed > 0 {
		s.ownerUsed--
	}
}

// RefundGrant refunds a grant that was not used, because the request ran
// elsewhere or is gone.
func (p *Pool) RefundGrant(r *Reservation) {
	p.queue.Refund(r)
	p.load.RecordLeft(false)
}

// RecordAccepted records a grant that was used.
func (p *Pool) RecordAccepted() { p.load.RecordLeft(true) }

// FinishedRequest describes a request that no longer uses its slot.
type FinishedRequest struct {
	Server string
	Class  string
	Cost   uint32
	// SlotTime is the time the slot was in use.
	SlotTime    time.Duration
	Observation Observation
	// Allowance is set if the slot was granted out of tier order.
	Allowance bool
	// Canceled is set if the caller canceled the request. Such a request only
	// corrects the charge of the allowance.
	Canceled bool
}

// Observe updates the estimates, the adaptive slots and the server's health from
// a finished request.
func (p *Pool) Observe(now time.Time, f FinishedRequest) {
	if f.Allowance {
		p.allowance.Charge(f.SlotTime - p.load.Service())
	}
	if f.Canceled {
		return
	}
	if !f.Observation.Failed {
		p.load.Finished(f.SlotTime, f.Cost)
	}
	s := p.Server(f.Server)
	if s == nil {
		return
	}
	if class := p.classes[f.Class]; class != nil {
		f.Observation.Target = class.spec.Target
		class.firstToken.observe(f.Observation.FirstToken)
	}
	f.Observation.Started = now.Add(-f.SlotTime)
	if !p.spec.Disabled.Stragglers {
		s.Health.Observe(now, f.Observation, p.referenceGap(f.Observation.Target))
	}
	if s.Health.State() == Healthy {
		f.Observation.Target.TokenGap = p.strictestGap
		s.Slots.Observe(now, f.Observation)
	}
	s.Health.CompleteReturn(s.Slots.Limit())
}

// referenceGap returns the token gap expected of a healthy server of the pool.
func (p *Pool) referenceGap(target Target) time.Duration {
	p.tokenGaps = p.tokenGaps[:0]
	for _, s := range p.servers {
		if gap, ok := s.Health.TokenGap(); ok {
			p.tokenGaps = append(p.tokenGaps, gap)
		}
	}
	return MedianTokenGap(p.tokenGaps, target.TokenGap)
}

// Overdue reports whether a running request takes much longer than expected for
// its cost.
func (p *Pool) Overdue(age time.Duration, cost uint32) bool { return p.load.Overdue(age, cost) }

// IsolateIfOverdue isolates a server if at least half of its running requests,
// and no fewer than minOverdueRequests, are overdue. It acts before these requests
// finish and their token gaps are known.
func (p *Pool) IsolateIfOverdue(now time.Time, server string, overdue int) {
	s := p.Server(server)
	if s != nil && !p.spec.Disabled.Stragglers && overdue >= minOverdueRequests && 2*overdue >= s.used {
		s.Health.Suspect(now)
	}
}
