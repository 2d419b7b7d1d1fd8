package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/fairshare"
)

const (
	// turnoutHalfLife is the time in which the weight of a request in a turnout halves.
	turnoutHalfLife = 2 * time.Second
	// maxTurnoutAge is how long a turnout that another daemon reported is used unless it is reported again.
	maxTurnoutAge = maxLoadAge
	// negligibleTurnout is the number of requests below which a turnout is dropped.
	negligibleTurnout = 0.05
	// turnoutUnit is the number in messages that stands for one request.
	turnoutUnit = 1000.0
)

// turnout counts requests of a class, with exponential decay.
type turnout struct {
	// offered counts all requests, unserved those that got nothing, held those of them that don't tell of a want of room
	// by themselves: they were refused in favour of more urgent ones, or came too late.
	offered, unserved, held float64
	updatedAt               time.Time
}

// at returns the turnout decayed to a time.
func (o turnout) at(now time.Time) turnout {
	if age := now.Sub(o.updatedAt); age > 0 {
		factor := math.Exp2(-float64(age) / float64(turnoutHalfLife))
		o.offered *= factor
		o.unserved *= factor
		o.held *= factor
		o.updatedAt = now
	}
	return o
}

// plus returns the sum of two turnouts at a time.
func (o turnout) plus(other turnout, now time.Time) turnout {
	sum, other := o.at(now), other.at(now)
	sum.offered += other.offered
	sum.unserved += other.unserved
	sum.held += other.held
	return sum
}

// minus returns what is left of a turnout at a time without a part of it.
func (o turnout) minus(part turnout, now time.Time) turnout {
	left, part := o.at(now), part.at(now)
	left.offered = max(0, left.offered-part.offered)
	left.unserved = max(0, left.unserved-part.unserved)
	left.held = max(0, left.held-part.held)
	return left
}

// unservedShare returns the share of the requests that got nothing. A few don't count.
func (o turnout) unservedShare() float64 {
	if o.unserved < minUnserved {
		return 0
	}
	return o.unserved / max(o.offered, o.unserved)
}

// isStrained reports whether requests were refused for want of room, whatever the more urgent ones got.
func (o turnout) isStrained() bool {
	o.unserved -= o.held
	return o.unservedShare() > closedUnserved
}

func (o turnout) isNegligible() bool {
	return o.offered < negligibleTurnout && o.unserved < negligibleTurnout
}

// classTurnout is the turnout of a class at one daemon, or at all, as daemons send it to each other, decayed to the time
// at which it was sent. The numbers are in thousandths of a request.
type classTurnout struct {
	Class                   fairshare.Class
	Offered, Unserved, Held int64
}

// encodeTurnout returns the message of a turnout.
func encodeTurnout(class fairshare.Class, o turnout) classTurnout {
	return classTurnout{Class: class, Offered: int64(turnoutUnit * o.offered), Unserved: int64(turnoutUnit * o.unserved), Held: int64(turnoutUnit * o.held)}
}

// decode returns the turnout of a message that was received at a time. Negative numbers count as zero.
func (m *classTurnout) decode(receivedAt time.Time) turnout {
	return turnout{
		offered:   max(0, float64(m.Offered)/turnoutUnit),
		unserved:  max(0, float64(m.Unserved)/turnoutUnit),
		held:      max(0, float64(m.Held)/turnoutUnit),
		updatedAt: receivedAt,
	}
}

// turnouts holds what is known of the turnouts of all daemons. Reports are absolute, so lost and repeated ones are
// harmless.
type turnouts struct {
	// local is the turnout at the local daemon, and reported the part of it that others know.
	local, reported map[fairshare.Class]turnout
	// peers holds what other daemons reported for themselves, by daemon.
	peers map[fairshare.Class]map[string]receivedTurnout
	// totals holds the turnouts of all daemons, including the local one, as relays reported them.
	totals map[fairshare.Class]receivedTurnout
}

// receivedTurnout is a turnout that another daemon sent.
type receivedTurnout struct {
	at time.Time
	turnout
}

func (r receivedTurnout) isExpired(now time.Time) bool { return now.Sub(r.at) > maxTurnoutAge }

func newTurnouts() turnouts {
	return turnouts{
		local: map[fairshare.Class]turnout{}, reported: map[fairshare.Class]turnout{},
		peers: map[fairshare.Class]map[string]receivedTurnout{}, totals: map[fairshare.Class]receivedTurnout{},
	}
}

// record adds requests at the local daemon.
func (s *turnouts) record(class fairshare.Class, added turnout) {
	s.local[class] = s.local[class].plus(added, added.updatedAt)
}

// fleet returns the turnout at all daemons, as far as is known. A total takes precedence over reports of single daemons.
func (s *turnouts) fleet(class fairshare.Class, now time.Time) turnout {
	sum := s.local[class].at(now)
	if total, ok := s.totals[class]; ok && !total.isExpired(now) {
		return sum.plus(total.minus(s.reported[class], now), now)
	}
	return sum.plus(s.sumPeers(class, now), now)
}

// sumPeers returns the sum of what other daemons reported and discards expired reports.
func (s *turnouts) sumPeers(class fairshare.Class, now time.Time) turnout {
	sum := turnout{updatedAt: now}
	for from, r := range s.peers[class] {
		if r.isExpired(now) {
			delete(s.peers[class], from)
			continue
		}
		sum = sum.plus(r.turnout, now)
	}
	if len(s.peers[class]) == 0 {
		delete(s.peers, class)
	}
	return sum
}

// take returns the local turnouts and marks them as reported.
func (s *turnouts) take(now time.Time) []classTurnout {
	var out []classTurnout
	clear(s.reported)
	for class, o := range s.local {
		if o = o.at(now); o.isNegligible() {
			delete(s.local, class)
			continue
		}
		s.reported[class] = o
		out = append(out, encodeTurnout(class, o))
	}
	return out
}

// receivePeer records what another daemon reported for itself.
func (s *turnouts) receivePeer(from string, reports []classTurnout, now time.Time) {
	for _, m := range reports {
		if s.peers[m.Class] == nil {
			s.peers[m.Class] = map[string]receivedTurnout{}
		}
		s.peers[m.Class][from] = receivedTurnout{at: now, turnout: m.decode(now)}
	}
}

// receiveTotals records the turnouts of all daemons as a relay reported them.
func (s *turnouts) receiveTotals(totals []classTurnout, now time.Time) {
	for _, m := range totals {
		s.totals[m.Class] = receivedTurnout{at: now, turnout: m.decode(now)}
	}
}

// sums returns the turnouts of all daemons in the classes for which the local daemon is the relay.
func (s *turnouts) sums(now time.Time, relayed func(fairshare.Class) bool) []classTurnout {
	known := map[fairshare.Class]bool{}
	for class := range s.reported {
		known[class] = true
	}
	for class := range s.peers {
		known[class] = true
	}
	var out []classTurnout
	for _, class := range slices.SortedFunc(maps.Keys(known), compareTurnoutClasses) {
		if !relayed(class) {
			continue
		}
		// Its own total replaces what an earlier relay sent.
		delete(s.totals, class)
		sum := s.sumPeers(class, now).plus(s.reported[class], now)
		if !sum.isNegligible() {
			out = append(out, encodeTurnout(class, sum))
		}
	}
	return out
}

// compareTurnoutClasses orders classes by service and urgency.
func compareTurnoutClasses(a, b fairshare.Class) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Urgency, b.Urgency))
}
