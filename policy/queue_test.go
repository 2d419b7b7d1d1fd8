package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newReservation(id uint64, tier int, customer string, cost uint32) Reservation {
	return Reservation{
		Key:      Key{Gateway: "g", ID: id},
		Tier:     tier,
		Class:    fmt.Sprintf("class-%d", tier),
		Customer: customer,
		Deadline: epoch.Add(time.Duration(id) * time.Millisecond),
		Arrived:  epoch,
		Cost:     cost,
	}
}

func popID(t *testing.T, q *Queue, claims ...string) uint64 {
	t.Helper()
	r, ok := q.Pop(claims, nil)
	assert.Assert(t, ok)
	return r.Key.ID
}

func TestBurstBarelyDelaysOtherCustomers(t *testing.T) {
	q := NewQueue()
	for id := range uint64(100) {
		q.Push(newReservation(id+1, 0, "burst", 300))
	}
	q.Push(newReservation(1000, 0, "quiet", 300))
	position := 1
	for popID(t, q) != 1000 {
		position++
	}
	assert.Assert(t, position <= 3, "served at position %d", position)
}

func TestClaimingOwnerComesFirstWithinTheTierOnly(t *testing.T) {
	q := NewQueue()
	q.Push(newReservation(1, 1, "a", 100))
	own := newReservation(2, 1, "b", 100)
	own.Owner = "north"
	q.Push(own)
	q.Push(newReservation(3, 0, "a", 100))
	assert.Equal(t, popID(t, q, "north"), uint64(3))
	assert.Equal(t, popID(t, q, "north"), uint64(2))
	assert.Equal(t, popID(t, q, "north"), uint64(1))
}

func TestEvictionTakesTheLowestTierAndTheLargestExcess(t *testing.T) {
	q := NewQueue()
	q.Push(newReservation(1, 3, "a", 1000))
	q.Push(newReservation(2, 6, "small", 100))
	q.Push(newReservation(3, 6, "large", 100))
	q.Push(newReservation(4, 6, "large", 100))
	newcomer := newReservation(5, 0, "a", 100)
	evicted, ok := q.EvictFor(&newcomer)
	assert.Assert(t, ok)
	assert.Equal(t, evicted.Customer, "large")
	lowest := newReservation(6, 7, "a", 100)
	_, ok = q.EvictFor(&lowest)
	assert.Assert(t, !ok)
	flooder := newReservation(7, 6, "large", 500)
	_, ok = q.EvictFor(&flooder)
	assert.Assert(t, !ok)
}

// TestFairnessBound checks the fairness bound stated in fairness.go, for customers
// that always have work waiting.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		customers := rapid.IntRange(2, 8).Draw(t, "customers")
		weights := make([]float64, customers)
		largest := make([]float64, customers)
		served := make([]float64, customers)
		id := uint64(0)
		push := func(c int) {
			id++
			r := newReservation(id, 2, fmt.Sprint(c), uint32(rapid.IntRange(1, 3000).Draw(t, "cost")))
			r.Weight = weights[c]
			r.Deadline = epoch.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "deadline")) * time.Millisecond)
			largest[c] = max(largest[c], float64(r.Cost))
			q.Push(r)
		}
		for c := range customers {
			weights[c] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			push(c)
			push(c)
		}
		for range rapid.IntRange(50, 300).Draw(t, "pops") {
			r, ok := q.Pop(nil, nil)
			if !ok {
				t.Fatal("Pop returned nothing from a queue that isn't empty")
			}
			var c int
			fmt.Sscan(r.Customer, &c)
			served[c] += float64(r.Cost) / weights[c]
			push(c)
			for a := range customers {
				for b := range customers {
					bound := 2*quantum + largest[a]/weights[a] + largest[b]/weights[b]
					if served[a]-served[b] > bound {
						t.Fatalf("customer %d is %.0f ahead of %d, bound %.0f", a, served[a]-served[b], b, bound)
					}
				}
			}
		}
	})
}

// BenchmarkQueue measures one Pop and one Push while n reservations of 1,200
// customers in 8 tiers are waiting.
func BenchmarkQueue(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("same-tier/%d", n), func(b *testing.B) { benchmarkQueue(b, n, true) })
		b.Run(fmt.Sprintf("any-tier/%d", n), func(b *testing.B) { benchmarkQueue(b, n, false) })
	}
}

func benchmarkQueue(b *testing.B, n int, sameTier bool) {
	q := NewQueue()
	work := benchmarkWork(n)
	for i := range work {
		q.Push(work[i])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		r, _ := q.Pop(nil, nil)
		next := &work[i%len(work)]
		if sameTier {
			r.Customer = next.Customer
		} else {
			r.Tier, r.Class, r.Customer = next.Tier, next.Class, next.Customer
		}
		r.Deadline = r.Deadline.Add(time.Millisecond)
		r.Arrived = epoch.Add(time.Duration(i) * time.Millisecond)
		q.Push(r)
	}
}

func benchmarkWork(n int) []Reservation {
	rnd := rand.New(rand.NewPCG(1, 2))
	customers := names("customer", 1200)
	work := make([]Reservation, n)
	for i := range work {
		work[i] = newReservation(uint64(i+1), rnd.IntN(Tiers), customers[rnd.IntN(len(customers))], uint32(100+rnd.IntN(3000)))
		work[i].Deadline = epoch.Add(time.Duration(rnd.IntN(10_000)) * time.Millisecond)
	}
	return work
}

// BenchmarkPool measures one Release, one Next and one Reserve of a pool with 20
// servers while n reservations of 1,200 customers in 8 tiers are waiting.
func BenchmarkPool(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			spec := PoolSpec{Limit: 2 * n, Slots: 8, MaxSlots: 8}
			for tier := range Tiers {
				spec.Classes = append(spec.Classes, ClassSpec{Name: fmt.Sprintf("class-%d", tier), Tier: tier, Starvation: time.Hour})
			}
			p := NewPool(spec)
			p.SetServers(serverSpecs(20))
			work := benchmarkWork(n)
			for i := range work {
				p.Reserve(epoch, work[i])
			}
			for {
				if _, ok := p.Next(epoch); !ok {
					break
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				p.Release(p.servers[i%20].Name, "", "")
				pick, _ := p.Next(epoch)
				pick.Reservation.Customer = work[i%n].Customer
				p.Reserve(epoch, pick.Reservation)
			}
		})
	}
}

func serverSpecs(n int) []ServerSpec {
	specs := make([]ServerSpec, n)
	for i, name := range names("s", n) {
		specs[i] = ServerSpec{Name: name}
	}
	return specs
}
