package policy

import "math"

// Within a tier, customers share the capacity by deficit round robin combined
// with earliest deadline first. Earliest deadline first alone lets a burst of one
// customer delay all others; round robin alone ignores deadlines.
//
// Each round gives every customer of a tier a credit in tokens, in proportion to
// its weight. Customers with credit are served by earliest deadline. A customer
// in debt waits for the round in which its debt is paid off. When all customers
// are in debt, the tier advances to the first such round in one step, so it never
// idles while work waits. A pick takes a few heap operations, so its cost is
// logarithmic in the number of customers.
//
// Fairness bound: while two customers both have work waiting, the tokens granted
// to them, divided by their weights, differ by at most two quanta plus the
// largest request of each customer divided by its weight.

// quantum is the credit in tokens of a customer of weight one in each round.
const quantum = 256.0

// Indexes into account.pos, one for each heap that may contain an account.
const (
	posEligible = iota
	posInDebt
	posOwnerEligible
	posOwnerInDebt
	posCount
)

// account holds the waiting work and the credit of one customer in one tier.
type account struct {
	customer string
	weight   float64
	owner    *ownerGroup
	items    heap[*item]
	// cost is the total cost of the waiting items, in tokens.
	cost float64
	// deficit is the deficit counter of the round robin: the credit in tokens as of
	// creditedRound, which is negative while the customer is in debt.
	deficit       float64
	creditedRound int64
	// resumeRound is the first round in which the account is eligible.
	resumeRound int64
	// pos holds the positions of the account in the heaps, or -1.
	pos [posCount]int
	// firstKey is a copy of the key of the first item, so that comparing accounts
	// doesn't access their items.
	firstKey itemKey
}

func (a *account) firstItem() *item { return a.items.top() }

// updateFirstKey updates firstKey from the first item, if there is one.
func (a *account) updateFirstKey() {
	if a.items.len() > 0 {
		a.firstKey = a.firstItem().order
	}
}

func (a *account) creditPerRound() float64 { return quantum * a.weight }

// accrue adds the credit of the rounds up to the given one. A customer never has
// more than the credit of one round.
func (a *account) accrue(round int64) {
	earned := float64(round-a.creditedRound) * a.creditPerRound()
	a.deficit = min(a.deficit+earned, a.creditPerRound())
	a.creditedRound = round
}

// updateResumeRound computes the first round in which the account is eligible.
func (a *account) updateResumeRound() {
	a.resumeRound = a.creditedRound
	if a.deficit < 0 {
		a.resumeRound += int64(math.Ceil(-a.deficit / a.creditPerRound()))
	}
}

// excess returns how much work of the account exceeds its share: the waiting work
// less the credit, or plus the debt, divided by the weight.
func (a *account) excess() float64 { return (a.cost - a.deficit) / a.weight }

// ownerGroup orders the accounts of the customers of one owner. Accounts in debt
// are ordered by the round in which they become eligible.
type ownerGroup struct {
	eligible heap[*account]
	inDebt   heap[*account]
}

// fairTier orders the waiting reservations of one tier.
type fairTier struct {
	round    int64
	accounts map[string]*account
	owners   map[string]*ownerGroup
	eligible heap[*account]
	inDebt   heap[*account]
	waiting  int
	// cost is the total cost of the waiting items, in tokens, and weight the sum
	// of the weights of the customers that wait.
	cost   float64
	weight float64
}

func newFairTier() *fairTier {
	return &fairTier{
		accounts: map[string]*account{},
		owners:   map[string]*ownerGroup{},
		eligible: accountHeap(byDeadline, posEligible),
		inDebt:   accountHeap(byResume, posInDebt),
	}
}

func accountHeap(less func(a, b *account) bool, posIndex int) heap[*account] {
	return heap[*account]{less: less, place: func(a *account, i int) { a.pos[posIndex] = i }}
}

func byDeadline(a, b *account) bool { return a.firstKey.before(b.firstKey) }

func byResume(a, b *account) bool {
	if a.resumeRound != b.resumeRound {
		return a.resumeRound < b.resumeRound
	}
	return byDeadline(a, b)
}

func (t *fairTier) account(r *Reservation) *account {
	a := t.accounts[r.Customer]
	if a == nil {
		a = &account{customer: r.Customer, creditedRound: t.round, resumeRound: t.round}
		a.items = heap[*item]{
			less:  (*item).before,
			place: func(it *item, i int) { it.pos = i },
		}
		a.pos = [posCount]int{-1, -1, -1, -1}
		t.accounts[r.Customer] = a
	}
	if a.items.len() == 0 {
		a.owner = t.ownerGroup(r.Owner)
		a.weight = r.Weight
		if !(a.weight > 0) {
			a.weight = 1
		}
	}
	return a
}

func (t *fairTier) ownerGroup(owner string) *ownerGroup {
	if owner == "" {
		return nil
	}
	g := t.owners[owner]
	if g == nil {
		g = &ownerGroup{
			eligible: accountHeap(byDeadline, posOwnerEligible),
			inDebt:   accountHeap(byResume, posOwnerInDebt),
		}
		t.owners[owner] = g
	}
	return g
}

// add queues an item in the account of its customer.
func (t *fairTier) add(it *item) {
	a := t.account(&it.Reservation)
	it.account = a
	t.waiting++
	t.cost += float64(it.Cost)
	a.cost += float64(it.Cost)
	a.items.push(it)
	a.updateFirstKey()
	if a.items.len() == 1 {
		t.weight += a.weight
		a.accrue(t.round)
		a.updateResumeRound()
		t.insert(a)
	} else if a.firstItem() == it {
		t.reorder(a)
	}
}

// remove removes an item without charging its cost.
func (t *fairTier) remove(it *item) {
	a := it.account
	first := a.firstItem() == it
	if first {
		t.detach(a)
	}
	t.unlink(it)
	if first && a.items.len() > 0 {
		t.insert(a)
	}
}

// grant removes an item and charges its cost to its customer.
func (t *fairTier) grant(it *item) {
	a := it.account
	t.detach(a)
	t.unlink(it)
	t.charge(a, float64(it.Cost))
	if a.items.len() > 0 {
		t.insert(a)
	}
}

// unlink removes an item from its account. If the item is the first one, the
// account must be in no heap, because its position would change.
func (t *fairTier) unlink(it *item) {
	a := it.account
	t.waiting--
	t.cost -= float64(it.Cost)
	a.cost -= float64(it.Cost)
	a.items.remove(it.pos)
	a.updateFirstKey()
	if a.items.len() == 0 {
		a.cost = 0
		t.weight -= a.weight
		// Unused credit is lost when no work waits.
		a.deficit = min(a.deficit, 0)
	}
}

// refund credits the cost of a grant that wasn't used to an account.
func (t *fairTier) refund(a *account, cost float64) {
	active := a.items.len() > 0
	if active {
		t.detach(a)
	}
	t.charge(a, -cost)
	if active {
		t.insert(a)
	} else {
		a.deficit = min(a.deficit, 0)
	}
}

// charge charges granted work to an account. The account must be in no heap,
// because its resume round may change.
func (t *fairTier) charge(a *account, cost float64) {
	a.accrue(t.round)
	a.deficit -= cost
	a.updateResumeRound()
}

// insert adds an account with waiting work to the heaps of its tier and owner.
func (t *fairTier) insert(a *account) {
	if a.resumeRound <= t.round {
		t.eligible.push(a)
		if a.owner != nil {
			a.owner.eligible.push(a)
		}
		return
	}
	t.inDebt.push(a)
	if a.owner != nil {
		a.owner.inDebt.push(a)
	}
}

func (t *fairTier) detach(a *account) {
	if a.pos[posEligible] >= 0 {
		t.eligible.remove(a.pos[posEligible])
	} else {
		t.inDebt.remove(a.pos[posInDebt])
	}
	switch {
	case a.owner == nil:
	case a.pos[posOwnerEligible] >= 0:
		a.owner.eligible.remove(a.pos[posOwnerEligible])
	default:
		a.owner.inDebt.remove(a.pos[posOwnerInDebt])
	}
}

// reorder restores the heap order after the first item of the account changed.
func (t *fairTier) reorder(a *account) {
	if i := a.pos[posEligible]; i >= 0 {
		t.eligible.fix(i)
	} else {
		t.inDebt.fix(a.pos[posInDebt])
	}
	switch {
	case a.owner == nil:
	case a.pos[posOwnerEligible] >= 0:
		a.owner.eligible.fix(a.pos[posOwnerEligible])
	default:
		a.owner.inDebt.fix(a.pos[posOwnerInDebt])
	}
}

// next returns the next item of the tier. The tier must not be empty.
func (t *fairTier) next() *item {
	if t.eligible.len() == 0 {
		t.advance()
	}
	return t.eligible.top().firstItem()
}

// advance skips to the next round in which an account is eligible.
func (t *fairTier) advance() {
	t.round = t.inDebt.top().resumeRound
	for t.inDebt.len() > 0 && t.inDebt.top().resumeRound <= t.round {
		a := t.inDebt.top()
		t.detach(a)
		a.accrue(t.round)
		t.insert(a)
	}
}

// nextClaimed returns the next item among the customers of the claiming owners, or
// of the whole tier if those customers have none.
func (t *fairTier) nextClaimed(claims []string) *item {
	for _, owner := range claims {
		if it := t.nextOfOwner(owner); it != nil {
			return it
		}
	}
	return t.next()
}

// nextOfOwner returns the next item among the customers of an owner, or nil.
func (t *fairTier) nextOfOwner(owner string) *item {
	g := t.owners[owner]
	switch {
	case g == nil:
		return nil
	case g.eligible.len() > 0:
		return g.eligible.top().firstItem()
	case g.inDebt.len() > 0:
		return g.inDebt.top().firstItem()
	}
	return nil
}

// largestExcess returns the account with the largest excess, or nil if no work waits.
func (t *fairTier) largestExcess() *account {
	var worst *account
	for _, accounts := range [2][]*account{t.eligible.items, t.inDebt.items} {
		for _, a := range accounts {
			a.accrue(t.round)
			if worst == nil || a.excess() > worst.excess() ||
				a.excess() == worst.excess() && a.customer < worst.customer {
				worst = a
			}
		}
	}
	return worst
}

// prune deletes the accounts of customers without waiting work or debt.
func (t *fairTier) prune() {
	for name, a := range t.accounts {
		if a.items.len() == 0 && a.resumeRound <= t.round {
			delete(t.accounts, name)
		}
	}
}
