package policy

import "time"

// Under strict tier priority a lower class would starve for as long as higher
// classes keep all slots busy. The starvation allowance prevents this: a small
// share of the slot time goes to the oldest request of a class that hasn't been
// served for half of its starvation bound, so that every class is served
// eventually. docs/design/starvation.md states the resulting bound and shows that
// no request of a higher class is refused because of it.

const (
	// allowanceShare is the share of the slot time that the allowance may use.
	allowanceShare = 0.05
	// dueShare is the share of its starvation bound that a class waits before it
	// may use the allowance.
	dueShare = 0.5
	// defaultStarvation is the bound of a class that doesn't set one.
	defaultStarvation = time.Minute
)

// Allowance limits grants out of tier order to allowanceShare of the slot time.
// Unused allowance doesn't accumulate: after each grant, no other is made until the
// slot time of that grant is paid off.
type Allowance struct {
	// debt is the granted slot time that isn't paid off yet.
	debt time.Duration
	// paidUntil is the time up to which the debt was paid off.
	paidUntil time.Time
}

// Ready reports whether a grant out of tier order may be made. The debt is paid
// off in proportion to the number of slots.
func (a *Allowance) Ready(now time.Time, slots int) bool {
	a.payOff(now, slots)
	return a.debt <= 0
}

// Charge adds the estimated slot time of a grant to the debt, or a correction of
// either sign once the actual time is known.
func (a *Allowance) Charge(d time.Duration) { a.debt += d }

func (a *Allowance) payOff(now time.Time, slots int) {
	if !a.paidUntil.IsZero() && now.After(a.paidUntil) {
		paid := float64(now.Sub(a.paidUntil)) * allowanceShare * float64(slots)
		a.debt = max(0, a.debt-time.Duration(paid))
	}
	a.paidUntil = now
}

// classState holds a class, its queue, and since when its demand has been unserved.
type classState struct {
	spec ClassSpec
	// queue holds the waiting reservations of the class.
	queue *classQueue
	// unservedSince is when the class began to have unserved demand, or zero if it
	// has none.
	unservedSince time.Time
	firstToken    firstTokenPredictor
}

// latestDispatch returns the latest time to dispatch a request that has to meet the
// deadline.
func (c *classState) latestDispatch(deadline time.Time) time.Time {
	return deadline.Add(-c.firstToken.predict(c.spec.Target.FirstToken))
}

// recordDemand records that a request of the class arrived, even if it is refused.
func (c *classState) recordDemand(now time.Time) {
	if c.unservedSince.IsZero() {
		c.unservedSince = now
	}
}

// recordGrant records a grant to the class, of which the given number of requests
// still wait.
func (c *classState) recordGrant(now time.Time, waiting int) {
	c.unservedSince = time.Time{}
	if waiting > 0 {
		c.unservedSince = now
	}
}

// unservedShare returns the time without service as a share of the bound of the
// class.
func (c *classState) unservedShare(now time.Time) float64 {
	if c.unservedSince.IsZero() {
		return 0
	}
	return float64(now.Sub(c.unservedSince)) / float64(c.spec.Starvation)
}

// dueForAllowance reports whether the class may use the allowance: it hasn't been
// served, or its oldest request has waited, for dueShare of its bound.
func (c *classState) dueForAllowance(now, oldest time.Time) bool {
	waited := float64(now.Sub(oldest)) / float64(c.spec.Starvation)
	return max(c.unservedShare(now), waited) >= dueShare
}
