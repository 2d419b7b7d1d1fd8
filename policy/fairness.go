package policy

import "math"

// Why deficit round robin with deadlines: earliest deadline first alone lets
// one customer's burst delay everybody, and round robin alone ignores who is
// in a hurry. Here each round gives every customer of a tier the same credit
// in tokens, times its weight; while a customer has credit it competes by
// deadline, and once it is in debt it waits for the round that pays the debt
// off. Rounds are skipped in one step when all are in debt, so the tier never
// idles while work waits, and a pick costs a few heap operations however many
// customers there are.
//
// Bound: while two customers both have work waiting, the tokens granted to
// them, divided by their weights, differ by at most two quanta and the largest
// request of each.

// quantum is the credit of a customer of weight one in each round, in tokens.
const quantum = 256.0

// Positions of an account in the heaps of its tier and of its owner.
const (
	inEligible = iota
	inSpent
	inOwnerEligible
	inOwnerSpent
	heapCount
)

// account is a customer's part of a tier.
type account struct {
	customer string
	weight   float64
	owner    *ownerGroup
	items    heap[*item]
	// cost is the work waiting, in tokens.
	cost float64
	// deficit is the credit as of the round asOf, in tokens.
	deficit float64
	asOf    int64
	// resume is the round from which the account is eligible again.
	resume int64
	pos    [heapCount]int
	// first is the key of the first item, kept here so that ordering accounts
	// does not visit their items.
	first itemKey
}

func (a *account) head() *item { return a.items.top() }

// refresh copies the key of the first item, if any.
func (a *account) refresh() {
	if a.items.len() > 0 {
		a.first = a.head().order
	}
}

func (a *account) perRound() float64 { return quantum * a.weight }

// credit brings the deficit up to the given round.
func (a *account) credit(round int64) {
	earned := float64(round-a.asOf) * a.perRound()
	a.deficit = min(a.deficit+earned, a.perRound())
	a.asOf = round
}

// settle works out the round from which the account is eligible.
func (a *account) settle() {
	a.resume = a.asOf
	if a.deficit < 0 {
		a.resume += int64(math.Ceil(-a.deficit / a.perRound()))
	}
}

// over is how far the account is over its share: work waiting and work
// received beyond its credit, relative to its weight.
func (a *account) over() float64 { return (a.cost - a.deficit) / a.weight }

// ownerGroup orders the accounts of one owner's customers.
type ownerGroup struct {
	eligible heap[*account]
	spent    heap[*account]
}

// fairTier orders the reservations of one tier.
type fairTier struct {
	round    int64
	accounts map[string]*account
	owners   map[string]*ownerGroup
	eligible heap[*account]
	spent    heap[*account]
	waiting  int
	// cost is the work waiting, in tokens; weight sums the customers waiting.
	cost   float64
	weight float64
}

func newFairTier() *fairTier {
	return &fairTier{
		accounts: map[string]*account{},
		owners:   map[string]*ownerGroup{},
		eligible: accountHeap(byDeadline, inEligible),
		spent:    accountHeap(byResume, inSpent),
	}
}

func accountHeap(less func(a, b *account) bool, slot int) heap[*account] {
	return heap[*account]{less: less, place: func(a *account, i int) { a.pos[slot] = i }}
}

func byDeadline(a, b *account) bool { return a.first.before(b.first) }

func byResume(a, b *account) bool {
	if a.resume != b.resume {
		return a.resume < b.resume
	}
	return byDeadline(a, b)
}

func (t *fairTier) account(r *Reservation) *account {
	a := t.accounts[r.Customer]
	if a == nil {
		a = &account{customer: r.Customer, asOf: t.round, resume: t.round}
		a.items = heap[*item]{
			less:  (*item).before,
			place: func(it *item, i int) { it.pos = i },
		}
		a.pos = [heapCount]int{-1, -1, -1, -1}
		t.accounts[r.Customer] = a
	}
	if a.items.len() == 0 {
		a.owner = t.group(r.Owner)
		a.weight = r.Weight
		if !(a.weight > 0) {
			a.weight = 1
		}
	}
	return a
}

func (t *fairTier) group(owner string) *ownerGroup {
	if owner == "" {
		return nil
	}
	g := t.owners[owner]
	if g == nil {
		g = &ownerGroup{
			eligible: accountHeap(byDeadline, inOwnerEligible),
			spent:    accountHeap(byResume, inOwnerSpent),
		}
		t.owners[owner] = g
	}
	return g
}

// add queues an item for its customer.
func (t *fairTier) add(it *item) {
	a := t.account(&it.Reservation)
	it.account = a
	t.waiting++
	t.cost += float64(it.Cost)
	a.cost += float64(it.Cost)
	a.items.push(it)
	a.refresh()
	if a.items.len() == 1 {
		t.weight += a.weight
		a.credit(t.round)
		a.settle()
		t.enter(a)
	} else if a.head() == it {
		t.reorder(a)
	}
}

// remove takes an item out of the queue.
func (t *fairTier) remove(it *item) {
	a := it.account
	first := a.head() == it
	if first {
		t.leave(a)
	}
	t.unlink(it)
	if first && a.items.len() > 0 {
		t.enter(a)
	}
}

// grant takes an item out of the queue and charges its cost.
func (t *fairTier) grant(it *item) {
	a := it.account
	t.leave(a)
	t.unlink(it)
	t.book(a, float64(it.Cost))
	if a.items.len() > 0 {
		t.enter(a)
	}
}

// unlink removes an item from its account, which may be in no heap or keeps
// its first item.
func (t *fairTier) unlink(it *item) {
	a := it.account
	t.waiting--
	t.cost -= float64(it.Cost)
	a.cost -= float64(it.Cost)
	a.items.remove(it.pos)
	a.refresh()
	if a.items.len() == 0 {
		a.cost = 0
		t.weight -= a.weight
		// Credit is not saved up while nothing waits.
		a.deficit = min(a.deficit, 0)
	}
}

// refund returns the cost of a grant that was not used.
func (t *fairTier) refund(a *account, cost float64) {
	active := a.items.len() > 0
	if active {
		t.leave(a)
	}
	t.book(a, -cost)
	if active {
		t.enter(a)
	} else {
		a.deficit = min(a.deficit, 0)
	}
}

// book charges granted work to an account that is in no heap.
func (t *fairTier) book(a *account, cost float64) {
	a.credit(t.round)
	a.deficit -= cost
	a.settle()
}

// enter puts an account with waiting work into the heaps.
func (t *fairTier) enter(a *account) {
	if a.resume <= t.round {
		t.eligible.push(a)
		if a.owner != nil {
			a.owner.eligible.push(a)
		}
		return
	}
	t.spent.push(a)
	if a.owner != nil {
		a.owner.spent.push(a)
	}
}

func (t *fairTier) leave(a *account) {
	if a.pos[inEligible] >= 0 {
		t.eligible.remove(a.pos[inEligible])
	} else {
		t.spent.remove(a.pos[inSpent])
	}
	switch {
	case a.owner == nil:
	case a.pos[inOwnerEligible] >= 0:
		a.owner.eligible.remove(a.pos[inOwnerEligible])
	default:
		a.owner.spent.remove(a.pos[inOwnerSpent])
	}
}

// reorder restores the heaps after the account's first item changed.
func (t *fairTier) reorder(a *account) {
	if i := a.pos[inEligible]; i >= 0 {
		t.eligible.fix(i)
	} else {
		t.spent.fix(a.pos[inSpent])
	}
	switch {
	case a.owner == nil:
	case a.pos[inOwnerEligible] >= 0:
		a.owner.eligible.fix(a.pos[inOwnerEligible])
	default:
		a.owner.spent.fix(a.pos[inOwnerSpent])
	}
}

// first returns the item that is next in the tier, which must hold work.
func (t *fairTier) first() *item {
	if t.eligible.len() == 0 {
		t.advance()
	}
	return t.eligible.top().head()
}

// advance starts the next round in which somebody is eligible.
func (t *fairTier) advance() {
	t.round = t.spent.top().resume
	for t.spent.len() > 0 && t.spent.top().resume <= t.round {
		a := t.spent.top()
		t.leave(a)
		a.credit(t.round)
		t.enter(a)
	}
}

// firstClaimed returns the next item of the claiming owners' customers, or of
// the whole tier if they have none.
func (t *fairTier) firstClaimed(claims []string) *item {
	for _, owner := range claims {
		if it := t.firstOf(owner); it != nil {
			return it
		}
	}
	return t.first()
}

// firstOf returns the next item of an owner's customers, or nil.
func (t *fairTier) firstOf(owner string) *item {
	g := t.owners[owner]
	switch {
	case g == nil:
		return nil
	case g.eligible.len() > 0:
		return g.eligible.top().head()
	case g.spent.len() > 0:
		return g.spent.top().head()
	}
	return nil
}

// furthestOver returns the account furthest over its share, or nil.
func (t *fairTier) furthestOver() *account {
	var worst *account
	for _, accounts := range [2][]*account{t.eligible.items, t.spent.items} {
		for _, a := range accounts {
			a.credit(t.round)
			if worst == nil || a.over() > worst.over() ||
				a.over() == worst.over() && a.customer < worst.customer {
				worst = a
			}
		}
	}
	return worst
}

// prune forgets customers without waiting work or debt.
func (t *fairTier) prune() {
	for name, a := range t.accounts {
		if a.items.len() == 0 && a.resume <= t.round {
			delete(t.accounts, name)
		}
	}
}
