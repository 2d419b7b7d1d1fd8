package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// oracle is a reference model of a pool. It keeps the waiting and the granted
// reservations in lists and checks every decision of the pool against them.
type oracle struct {
	pool    *Pool
	now     time.Time
	nextID  uint64
	waiting []Reservation
	granted []Pick
	ended   map[Key]string
	all     map[Key]bool
	held    map[string]bool
	// slots is the number of slots of each server, and express the number of
	// express slots on top.
	slots, express int
}

const (
	oracleLimit      = 4
	oracleStarvation = 20 * time.Second
	oracleSlots      = 2
	// batchSlots is the number of slots for which a server has one express slot.
	batchSlots = 4
)

func newOracle(servers, limit int) *oracle {
	return newOracleOf(servers, PoolSpec{Limit: limit, Slots: oracleSlots, MaxSlots: oracleSlots}, 0)
}

func newBatchingOracle(servers, limit int) *oracle {
	return newOracleOf(servers, PoolSpec{Limit: limit, Slots: batchSlots, MaxSlots: batchSlots, Batches: true}, 1)
}

func newOracleOf(servers int, spec PoolSpec, express int) *oracle {
	spec.Owners = map[string]float64{"north": 0.5}
	for tier := range Tiers {
		spec.Classes = append(spec.Classes, ClassSpec{
			Name:       fmt.Sprintf("class-%d", tier),
			Tier:       tier,
			Starvation: oracleStarvation,
			RefuseLate: tier%2 == 0,
			Target:     Target{FirstToken: 5 * time.Second, Promise: 0.95},
		})
	}
	o := &oracle{
		pool: NewPool(spec), now: epoch, ended: map[Key]string{}, all: map[Key]bool{}, held: map[string]bool{},
		slots: spec.Slots, express: express,
	}
	specs := serverSpecs(servers)
	specs[0].Owner = "north"
	o.pool.SetServers(specs)
	return o
}

func (o *oracle) index(k Key) int {
	return slices.IndexFunc(o.waiting, func(r Reservation) bool { return r.Key == k })
}

func (o *oracle) drop(k Key) Reservation {
	i := o.index(k)
	r := o.waiting[i]
	o.waiting = slices.Delete(o.waiting, i, i+1)
	return r
}

// usage returns the number of requests running on a server and their lowest tier.
func (o *oracle) usage(server string) (used, lowest int) {
	lowest = -1
	for _, g := range o.granted {
		if g.Server == server {
			used++
			lowest = max(lowest, g.Reservation.Tier)
		}
	}
	return used, lowest
}

// fits reports whether a server has a regular slot free for the reservation.
func (o *oracle) fits(r Reservation) bool {
	if o.held[r.Key.Gateway] {
		return false
	}
	for _, s := range o.pool.Servers() {
		used, _ := o.usage(s.Name)
		if !s.Leaving && used < o.slots && !slices.Contains(r.Avoid, s.Name) {
			return true
		}
	}
	return false
}

// fitsExpress reports whether an express slot is free for the reservation: all
// regular slots of the pool are in use, no higher tier waits, and a lower tier runs
// on the server.
func (o *oracle) fitsExpress(r Reservation) bool {
	if o.held[r.Key.Gateway] {
		return false
	}
	for _, w := range o.waiting {
		if w.Tier < r.Tier {
			return false
		}
	}
	found := false
	for _, s := range o.pool.Servers() {
		used, lowest := o.usage(s.Name)
		if s.Leaving {
			continue
		}
		if used < o.slots {
			return false
		}
		if used < o.slots+o.express && lowest > r.Tier && !slices.Contains(r.Avoid, s.Name) {
			found = true
		}
	}
	return found
}

func (o *oracle) reserve(t *rapid.T) {
	o.nextID++
	tier := rapid.IntRange(0, Tiers-1).Draw(t, "tier")
	customer := fmt.Sprint("customer-", rapid.IntRange(0, 4).Draw(t, "customer"))
	r := newReservation(o.nextID, tier, customer, uint32(rapid.IntRange(1, 2000).Draw(t, "cost")))
	r.Key.Gateway = rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "gateway")
	r.Arrived = o.now
	r.Deadline = o.now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "deadline")) * time.Millisecond)
	if customer == "customer-0" {
		r.Owner = "north"
	}
	if rapid.IntRange(0, 4).Draw(t, "avoids") == 0 {
		r.Avoid = []string{o.pool.Servers()[0].Name}
	}
	o.all[r.Key] = true
	v := o.pool.Reserve(o.now, r)
	if v.Refusal != NotRefused {
		o.checkRefusal(t, r, v)
		o.ended[r.Key] = "refused"
		return
	}
	o.takeWithdrawn(t, tier)
	o.waiting = append(o.waiting, r)
}

// checkRefusal checks that a reservation is refused as RefusedFull only if no
// reservation of a lower tier could have been evicted.
func (o *oracle) checkRefusal(t *rapid.T, r Reservation, v Decision) {
	if v.RetryAfter <= 0 {
		t.Fatalf("refusal of %v has no RetryAfter", r.Key)
	}
	if v.Refusal != RefusedFull {
		return
	}
	perClass := map[string]int{}
	for _, w := range o.waiting {
		perClass[w.Class]++
	}
	// One reservation of each class doesn't count against the limit.
	if excess := len(o.waiting) - len(perClass); excess < oracleLimit {
		t.Fatalf("refused as full with %d reservations waiting beyond one per class", excess)
	}
	for _, w := range o.waiting {
		if w.Tier > r.Tier && perClass[w.Class] > 1 {
			t.Fatalf("tier %d refused as full while tier %d waits", r.Tier, w.Tier)
		}
	}
}

// takeWithdrawn checks and removes the reservations that the pool refused.
// newcomer is the tier of the reservation that others were evicted for.
func (o *oracle) takeWithdrawn(t *rapid.T, newcomer int) {
	for _, w := range o.pool.TakeWithdrawn() {
		if w.Refusal == RefusedEvicted && w.Reservation.Tier < newcomer {
			t.Fatalf("tier %d evicted for tier %d", w.Reservation.Tier, newcomer)
		}
		if w.Refusal == RefusedDeadline && !o.late(w.Reservation) {
			t.Fatalf("%v refused before its deadline and its starvation bound", w.Reservation.Key)
		}
		if o.index(w.Reservation.Key) < 0 {
			t.Fatalf("%v refused, but it was not waiting", w.Reservation.Key)
		}
		o.drop(w.Reservation.Key)
		o.ended[w.Reservation.Key] = "refused"
	}
}

func (o *oracle) late(r Reservation) bool {
	return r.Tier%2 == 0 && o.now.After(r.Deadline) || o.now.Sub(r.Arrived) > oracleStarvation-startMargin
}

// grant lets the pool grant all free slots and checks each pick.
func (o *oracle) grant(t *rapid.T) {
	for {
		pick, ok := o.pool.Next(o.now)
		o.takeWithdrawn(t, 0)
		if !ok {
			break
		}
		o.checkPick(t, pick)
		o.drop(pick.Reservation.Key)
		o.granted = append(o.granted, pick)
	}
	for _, r := range o.waiting {
		if (o.fits(r) || o.fitsExpress(r)) && !o.late(r) {
			t.Fatalf("%v waits while a slot is free for it", r.Key)
		}
	}
}

func (o *oracle) checkPick(t *rapid.T, pick Pick) {
	p := pick.Reservation
	if o.index(p.Key) < 0 || slices.Contains(p.Avoid, pick.Server) {
		t.Fatalf("%v granted on %s, but it is not waiting or must avoid the server", p.Key, pick.Server)
	}
	used, lowest := o.usage(pick.Server)
	if used >= o.slots && (used >= o.slots+o.express || lowest <= p.Tier || !o.fitsExpress(p) || pick.Allowance) {
		t.Fatalf("%v granted on %s, which has no slot free for it", p.Key, pick.Server)
	}
	if o.now.Sub(p.Arrived) > oracleStarvation-startMargin {
		t.Fatalf("%v granted after the starvation bound of its class", p.Key)
	}
	if pick.Allowance {
		o.checkAllowance(t, p)
		return
	}
	for _, w := range o.waiting {
		if !o.fits(w) && !o.fitsExpress(w) || o.late(w) {
			continue
		}
		if w.Tier < p.Tier {
			t.Fatalf("tier %d granted while tier %d waits", p.Tier, w.Tier)
		}
		if w.Tier == p.Tier && w.Customer == p.Customer && w.Deadline.Before(p.Deadline) {
			t.Fatalf("%v granted before the earlier deadline of %v", p.Key, w.Key)
		}
	}
}

// checkAllowance checks that the allowance granted a slot to the oldest
// reservation of the class that fits.
func (o *oracle) checkAllowance(t *rapid.T, p Reservation) {
	for _, w := range o.waiting {
		if w.Class == p.Class && w.Arrived.Before(p.Arrived) && o.fits(w) {
			t.Fatalf("allowance granted a slot to %v before the older %v", p.Key, w.Key)
		}
	}
}

func (o *oracle) finish(t *rapid.T) {
	if len(o.granted) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.granted)-1).Draw(t, "finished")
	g := o.granted[i]
	o.granted = slices.Delete(o.granted, i, i+1)
	o.pool.Release(g.Server, g.Reservation.Owner, g.Reservation.Class)
	switch rapid.IntRange(0, 3).Draw(t, "how") {
	case 0:
		o.pool.Requeue(g.Reservation)
		o.waiting = append(o.waiting, g.Reservation)
	case 1:
		o.pool.RefundGrant(&g.Reservation)
		o.ended[g.Reservation.Key] = "declined"
	default:
		o.pool.RecordAccepted()
		o.pool.Observe(o.now, FinishedRequest{
			Server:      g.Server,
			Class:       g.Reservation.Class,
			Cost:        g.Reservation.Cost,
			SlotTime:    time.Duration(g.Reservation.Cost) * time.Millisecond,
			Allowance:   g.Allowance,
			Observation: Observation{TokenGap: time.Millisecond},
		})
		o.ended[g.Reservation.Key] = "done"
	}
}

// check compares the queue with the model: every reservation is waiting, granted
// or ended.
func (o *oracle) check(t *rapid.T) {
	if o.pool.Queue().Len() != len(o.waiting) {
		t.Fatalf("queue holds %d reservations, expected %d", o.pool.Queue().Len(), len(o.waiting))
	}
	for _, r := range o.waiting {
		if !o.pool.Queue().Contains(r.Key) {
			t.Fatalf("%v is missing from the queue", r.Key)
		}
	}
	if len(o.all) != len(o.waiting)+len(o.granted)+len(o.ended) {
		t.Fatalf("%d reserved, but %d waiting, %d granted and %d ended", len(o.all), len(o.waiting), len(o.granted), len(o.ended))
	}
	perTier := [Tiers]int{}
	for _, r := range o.waiting {
		perTier[r.Tier]++
	}
	for tier, n := range perTier {
		if o.pool.Queue().Waiting(tier) != n {
			t.Fatalf("tier %d has %d waiting, expected %d", tier, o.pool.Queue().Waiting(tier), n)
		}
	}
}

func TestPoolAgainstOracle(t *testing.T) { checkAgainstOracle(t, newOracle) }

func TestBatchingPoolAgainstOracle(t *testing.T) { checkAgainstOracle(t, newBatchingOracle) }

func checkAgainstOracle(t *testing.T, start func(servers, limit int) *oracle) {
	rapid.Check(t, func(t *rapid.T) {
		o := start(rapid.IntRange(1, 3).Draw(t, "servers"), oracleLimit)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": o.reserve,
			"reserve again": func(t *rapid.T) {
				if len(o.waiting) == 0 {
					return
				}
				r := rapid.SampledFrom(o.waiting).Draw(t, "repeated")
				r.Deadline = r.Deadline.Add(time.Second)
				v := o.pool.Reserve(o.now, r)
				if v.Refusal == RefusedNoServer {
					o.drop(r.Key)
					o.ended[r.Key] = "refused"
				} else if v.Refusal != NotRefused {
					t.Fatalf("%v was admitted, but refused when reserved again", r.Key)
				}
			},
			"hold": func(t *rapid.T) {
				gateway := rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "gateway")
				o.held[gateway] = rapid.IntRange(0, 2).Draw(t, "held") == 0
				o.pool.SetGatewayHeld(gateway, o.held[gateway])
			},
			"burst": func(t *rapid.T) {
				for range 6 {
					o.reserve(t)
				}
			},
			"grant":  o.grant,
			"finish": o.finish,
			"cancel": func(t *rapid.T) {
				if len(o.waiting) == 0 {
					return
				}
				r := rapid.SampledFrom(o.waiting).Draw(t, "canceled")
				if !o.pool.Cancel(r.Key) {
					t.Fatalf("canceled %v was not waiting", r.Key)
				}
				o.drop(r.Key)
				o.ended[r.Key] = "canceled"
			},
			"pass time": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				o.pool.Expire(o.now)
				o.takeWithdrawn(t, 0)
			},
			"leave": func(t *rapid.T) {
				specs := serverSpecs(len(o.pool.Servers()))
				specs[0].Owner = "north"
				i := rapid.IntRange(0, len(specs)-1).Draw(t, "server")
				specs[i].Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
				o.pool.SetServers(specs)
			},
			"": o.check,
		})
	})
}

// TestEveryClassIsServedWithinItsBound saturates a pool with requests of the
// highest tier and checks that each lower class is served within the bound of
// docs/design/starvation.md.
func TestEveryClassIsServedWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(3, 100)
		service := time.Duration(rapid.IntRange(50, 1000).Draw(t, "service")) * time.Millisecond
		slots := 3 * oracleSlots
		lower := rapid.IntRange(1, Tiers-1).Draw(t, "lower classes")
		last := map[string]time.Time{}
		bound := starvationBound(oracleStarvation, service, slots, lower)
		type job struct {
			Pick
			end time.Time
		}
		var running []job
		for o.now.Sub(epoch) < 2*bound {
			for tier := range lower + 1 {
				backlog := 2
				if tier == 0 {
					backlog = slots + 1
				}
				for o.pool.Queue().Waiting(tier) < backlog {
					o.nextID++
					r := newReservation(o.nextID, tier, "c", 100)
					r.Arrived = o.now
					r.Deadline = o.now.Add(time.Hour)
					if v := o.pool.Reserve(o.now, r); v.Refusal != NotRefused {
						break
					}
				}
			}
			for {
				pick, ok := o.pool.Next(o.now)
				if !ok {
					break
				}
				if pick.Reservation.Tier > 0 && !pick.Allowance {
					t.Fatalf("tier %d granted in order while tier 0 waits", pick.Reservation.Tier)
				}
				last[pick.Reservation.Class] = o.now
				running = append(running, job{pick, o.now.Add(service)})
			}
			for tier := 1; tier <= lower; tier++ {
				class := fmt.Sprintf("class-%d", tier)
				since, ok := last[class]
				if !ok {
					since = epoch
				}
				if o.now.Sub(since) > bound {
					t.Fatalf("%s not served for %v, bound %v", class, o.now.Sub(since), bound)
				}
			}
			o.now = o.now.Add(10 * time.Millisecond)
			o.pool.Expire(o.now)
			o.pool.TakeWithdrawn()
			kept := running[:0]
			for _, j := range running {
				if o.now.Before(j.end) {
					kept = append(kept, j)
					continue
				}
				o.pool.Release(j.Server, "", "")
				o.pool.Observe(o.now, FinishedRequest{Server: j.Server, Class: j.Reservation.Class, Cost: 100, SlotTime: service, Allowance: j.Allowance})
			}
			running = kept
		}
	})
}

// starvationBound returns the maximum time without service that
// docs/design/starvation.md states for a class.
func starvationBound(class, service time.Duration, slots, lower int) time.Duration {
	pay := float64(service) / (allowanceShare * float64(slots))
	due := time.Duration(dueShare * float64(class))
	return due + time.Duration(float64(lower)*pay) + time.Duration(lower+1)*service
}

func TestAllowanceIsBounded(t *testing.T) {
	var a Allowance
	now, slots := epoch, 10
	total := time.Duration(0)
	for range 10_000 {
		if a.Ready(now, slots) {
			a.Charge(time.Second)
			total += time.Second
		}
		now = now.Add(50 * time.Millisecond)
	}
	elapsed := now.Sub(epoch)
	most := time.Duration(allowanceShare*float64(slots)*float64(elapsed)) + time.Second
	assert.Assert(t, total <= most, "%v of %v", total, most)
	assert.Assert(t, total > most/2, "%v of %v", total, most)
}
