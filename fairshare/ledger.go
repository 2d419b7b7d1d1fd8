package fairshare

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxAge is how long the work that another daemon reported, or a total, is used after the last message.
	maxAge = 8 * time.Second
	// meanSmoothing is the weight of the newest request in the moving average of the work of a request.
	meanSmoothing = 0.05
	// maxCustomers bounds the customers that are kept for a class.
	maxCustomers = 4096
)

// Ledger holds the work that customers offer to all daemons. It is safe for concurrent use. A nil Ledger
// accepts every customer's work alike.
type Ledger struct {
	mu sync.Mutex
	// local is the work offered to the local daemon, and reported the part of it that others know.
	local, reported map[Class]classSums
	// changed lists the customers whose local work has changed since it was last reported.
	changed map[Class]map[string]bool
	// peers holds the work that other daemons reported for themselves, by daemon.
	peers map[Class]map[string]received
	// totals holds the work of all daemons, including the local one, as a relay reported it.
	totals map[Class]received
	// mean is the mean work of a request, in tokens.
	mean map[Class]float64
}

// received is work that another daemon sent.
type received struct {
	at   time.Time
	sums classSums
}

func (r received) isExpired(now time.Time) bool { return now.Sub(r.at) > maxAge }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		local: map[Class]classSums{}, reported: map[Class]classSums{}, changed: map[Class]map[string]bool{},
		peers: map[Class]map[string]received{}, totals: map[Class]received{}, mean: map[Class]float64{},
	}
}

// Offered records the work of a request that a customer offered to the local daemon, in tokens.
func (l *Ledger) Offered(now time.Time, class Class, customer string, tokens float64) {
	l.record(class, customer, work{offered: tokens, updatedAt: now}, now)
	l.observeMean(class, tokens)
}

// Accepted records that a request that was offered is being served.
func (l *Ledger) Accepted(now time.Time, class Class, customer string, tokens float64) {
	l.record(class, customer, work{usual: tokens, updatedAt: now}, now)
}

// observeMean updates the moving average of the work of a request.
func (l *Ledger) observeMean(class Class, tokens float64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, known := l.mean[class]
	if !known {
		mean = tokens
	}
	l.mean[class] = mean + meanSmoothing*(tokens-mean)
}

// record adds local work of a customer. Work without a customer isn't counted.
func (l *Ledger) record(class Class, customer string, added work, now time.Time) {
	if l == nil || customer == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local[class] == nil {
		l.local[class], l.changed[class] = classSums{}, map[string]bool{}
	}
	sums := l.local[class]
	if _, known := sums[customer]; !known && len(sums) >= maxCustomers {
		return
	}
	sums[customer] = sums[customer].plus(added, now)
	l.changed[class][customer] = true
}

// AcceptedShare returns the share of a customer's work in a class that is accepted if a share of the work of
// all customers is.
func (l *Ledger) AcceptedShare(now time.Time, class Class, customer string, share float64) float64 {
	if l == nil || customer == "" || share >= 1 {
		return share
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	names, claims := l.claims(now, class)
	i, known := slices.BinarySearch(names, customer)
	if !known {
		claims = slices.Insert(claims, i, claim{})
	}
	setWeights(claims, l.mean[class])
	if claims[i].offered == 0 {
		return 1 // A customer that has offered nothing lately has all of its share left.
	}
	return acceptedShare(claims, claims[i], share)
}

// IsOverShare reports whether a customer offers more than its part of what all customers offer in a class.
func (l *Ledger) IsOverShare(now time.Time, class Class, customer string) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	names, claims := l.claims(now, class)
	setWeights(claims, l.mean[class])
	i, known := slices.BinarySearch(names, customer)
	return known && isOverShare(claims, claims[i])
}

// claims returns what each customer asks for in a class, in the order of their names. The caller must hold
// l.mu.
func (l *Ledger) claims(now time.Time, class Class) ([]string, []claim) {
	sums := l.fleet(class, now)
	names := slices.Sorted(maps.Keys(sums))
	claims := make([]claim, len(names))
	for i, name := range names {
		w := sums[name].at(now)
		claims[i] = claim{offered: w.offered, weight: w.usual * offeredHalfLife.Seconds() / usualHalfLife.Seconds()}
	}
	return names, claims
}

// fleet returns the work that all daemons were offered, as far as is known. A total takes precedence over
// reports of single daemons. The caller must hold l.mu.
func (l *Ledger) fleet(class Class, now time.Time) classSums {
	sums := classSums{}
	if total, ok := l.totals[class]; ok && !total.isExpired(now) {
		sums.add(total.sums, now)
		for customer, w := range l.reported[class] {
			sums[customer] = sums[customer].minus(w, now)
		}
	} else {
		sums.add(l.sumPeers(class, now), now)
	}
	sums.add(l.local[class], now)
	return sums
}

// sumPeers returns the sum of what other daemons reported. The caller must hold l.mu.
func (l *Ledger) sumPeers(class Class, now time.Time) classSums {
	sums := classSums{}
	for from, r := range l.peers[class] {
		if r.isExpired(now) {
			delete(l.peers[class], from)
			continue
		}
		r.sums.dropNegligible(now)
		sums.add(r.sums, now)
	}
	return sums
}

// TakeChanges returns the local work of the customers for whom it changed since the previous call, or of all, and
// marks it as reported.
func (l *Ledger) TakeChanges(now time.Time, all bool) []ClassWork {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []ClassWork
	for class, sums := range l.local {
		sums.dropNegligible(now)
		l.reported[class].dropNegligible(now)
		report := sums
		if !all {
			report = sums.of(l.changed[class])
		}
		clear(l.changed[class])
		if len(report) == 0 {
			continue
		}
		m := report.encode(class, now)
		l.reported[class] = l.reported[class].replace(m.decode(now))
		out = append(out, m)
	}
	return out
}

// ReceivePeer records the work that another daemon reported for itself. Customers that it doesn't list are
// unchanged.
func (l *Ledger) ReceivePeer(from string, reports []ClassWork, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range reports {
		if l.peers[m.Class] == nil {
			l.peers[m.Class] = map[string]received{}
		}
		earlier := l.peers[m.Class][from]
		l.peers[m.Class][from] = received{at: now, sums: earlier.sums.replace(m.decode(now))}
	}
}

// ReceiveTotals records the work of all daemons as a relay reported it.
func (l *Ledger) ReceiveTotals(totals []ClassWork, now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range totals {
		l.totals[m.Class] = received{at: now, sums: m.decode(now)}
	}
}

// Totals returns the work of all daemons in the classes for which the local daemon is the relay.
func (l *Ledger) Totals(now time.Time, relayed func(Class) bool) []ClassWork {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []ClassWork
	for _, class := range l.classes() {
		if !relayed(class) {
			continue
		}
		sums := l.sumPeers(class, now)
		sums.add(l.reported[class], now)
		out = append(out, sums.encode(class, now))
		// Its own total replaces what an earlier relay sent.
		delete(l.totals, class)
	}
	return out
}

// classes returns all classes of which something is known. The caller must hold l.mu.
func (l *Ledger) classes() []Class {
	known := map[Class]bool{}
	for class := range l.local {
		known[class] = true
	}
	for class, reports := range l.peers {
		if len(reports) == 0 {
			delete(l.peers, class)
			continue
		}
		known[class] = true
	}
	for class := range l.totals {
		known[class] = true
	}
	return slices.SortedFunc(maps.Keys(known), compareClasses)
}

func compareClasses(a, b Class) int {
	if c := strings.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return int(a.Urgency - b.Urgency)
}

// Share is the state of a customer in a class, for operators. Work is in tokens a second.
type Share struct {
	Service  string  `json:"service"`
	Urgency  int     `json:"urgency"`
	Customer string  `json:"customer"`
	Offered  float64 `json:"offered"`
	Usual    float64 `json:"usual"`
	// OverShare is set if the customer offers more than its part.
	OverShare bool `json:"over_share"`
}

// Shares returns the state of all customers.
func (l *Ledger) Shares(now time.Time) []Share {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Share
	for _, class := range l.classes() {
		names, claims := l.claims(now, class)
		usual := slices.Clone(claims)
		setWeights(claims, l.mean[class])
		for i, c := range claims {
			out = append(out, Share{
				Service: class.Service, Urgency: int(class.Urgency), Customer: names[i], OverShare: isOverShare(claims, c),
				Offered: rate(c.offered), Usual: rate(usual[i].weight),
			})
		}
	}
	return out
}

// rate converts a decayed sum of offered work to the rate at which it stays constant, per second.
func rate(sum float64) float64 { return sum * math.Ln2 / offeredHalfLife.Seconds() }
