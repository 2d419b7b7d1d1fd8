package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Class identifies the requests among which capacity is shared.
type Class struct {
	Service string
	// Urgency is the rank of the requests at the servers of the service.
	Urgency int32
}

// ClassWork is the work of one class, as daemons send it to each other. It is the work of one daemon or of
// all, decayed to the time at which it was sent.
type ClassWork struct {
	Class     Class
	Customers []CustomerWork
}

// CustomerWork is the work of a customer in a class, in tokens.
type CustomerWork struct {
	Customer string
	Offered  int64
	Usual    int64
}

// classSums holds the work of the customers of one class.
type classSums map[string]work

// encode returns the work that isn't negligible at a time, in the order of customers.
func (s classSums) encode(class Class, now time.Time) ClassWork {
	out := ClassWork{Class: class}
	for customer, w := range s {
		w = w.at(now)
		if !w.isNegligible() {
			out.Customers = append(out.Customers, CustomerWork{customer, int64(math.Round(w.offered)), int64(math.Round(w.usual))})
		}
	}
	slices.SortFunc(out.Customers, func(a, b CustomerWork) int { return cmp.Compare(a.Customer, b.Customer) })
	return out
}

// decode returns the work of a message that was received at a time. Negative numbers count as zero.
func (m *ClassWork) decode(receivedAt time.Time) classSums {
	sums := classSums{}
	for _, c := range m.Customers {
		sums[c.Customer] = work{offered: max(0, float64(c.Offered)), usual: max(0, float64(c.Usual)), updatedAt: receivedAt}
	}
	return sums
}

// add adds other work of the class.
func (s classSums) add(other classSums, now time.Time) {
	for customer, w := range other {
		s[customer] = s[customer].plus(w, now)
	}
}

// of returns the work of some customers.
func (s classSums) of(customers map[string]bool) classSums {
	out := classSums{}
	for customer := range customers {
		if w, ok := s[customer]; ok {
			out[customer] = w
		}
	}
	return out
}

// replace returns the sums with those of some customers replaced by newer ones.
func (s classSums) replace(newer classSums) classSums {
	if s == nil {
		return newer
	}
	maps.Copy(s, newer)
	return s
}

// dropNegligible removes customers whose work is too little to be kept.
func (s classSums) dropNegligible(now time.Time) {
	maps.DeleteFunc(s, func(_ string, w work) bool { return w.at(now).isNegligible() })
}
