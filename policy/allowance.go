package policy

import "time"

// Why an allowance: under strict tiers a lower class would wait for as long as
// higher ones keep all slots busy. A small share of the slot time, spent on the
// oldest request of a class that was not served for half its bound, serves
// every class in the end. docs/design/starvation.md has the bound and the
// argument that no higher request is refused because of it.

const (
	// allowanceShare is the part of the slot time the allowance may use.
	allowanceShare = 0.05
	// dueShare is the part of its bound that a class waits before it is due.
	dueShare = 0.5
	// defaultStarvation is the bound of a class that names none.
	defaultStarvation = time.Minute
)

// Allowance limits grants out of tier order. It saves nothing up: after each
// grant no other follows until its slot time is paid off.
type Allowance struct {
	// debt is the slot time still to be paid off.
	debt time.Duration
	at   time.Time
}

// Ready reports whether a grant out of tier order may be made, given the
// number of slots that pay.
func (a *Allowance) Ready(now time.Time, slots int) bool {
	a.pay(now, slots)
	return a.debt <= 0
}

// Charge books the estimated slot time of a grant, or a correction once the
// true time is known.
func (a *Allowance) Charge(d time.Duration) { a.debt += d }

func (a *Allowance) pay(now time.Time, slots int) {
	if !a.at.IsZero() && now.After(a.at) {
		paid := float64(now.Sub(a.at)) * allowanceShare * float64(slots)
		a.debt = max(0, a.debt-time.Duration(paid))
	}
	a.at = now
}

// classClock follows how long a class has not been served.
type classClock struct {
	spec ClassSpec
	// queue holds the class's waiting reservations.
	queue *classQueue
	// since is when unserved demand began; zero while there is none.
	since time.Time
	first firstTokens
}

// mustStart is when a request with the deadline has to be dispatched to meet
// it.
func (c *classClock) mustStart(deadline time.Time) time.Time {
	return deadline.Add(-c.first.expected(c.spec.Target.FirstToken))
}

// demand records that a request of the class arrived, even if it is refused.
func (c *classClock) demand(now time.Time) {
	if c.since.IsZero() {
		c.since = now
	}
}

// served records a grant to the class.
func (c *classClock) served(now time.Time, waiting int) {
	c.since = time.Time{}
	if waiting > 0 {
		c.since = now
	}
}

// unserved is the time without service relative to the class's bound.
func (c *classClock) unserved(now time.Time) float64 {
	if c.since.IsZero() {
		return 0
	}
	return float64(now.Sub(c.since)) / float64(c.spec.Starvation)
}

// due reports whether the class may use the allowance: it was not served, or
// its oldest request has waited, for dueShare of its bound.
func (c *classClock) due(now, oldest time.Time) bool {
	waited := float64(now.Sub(oldest)) / float64(c.spec.Starvation)
	return max(c.unserved(now), waited) >= dueShare
}
