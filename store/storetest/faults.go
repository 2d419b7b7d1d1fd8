package storetest

import (
	"math/rand/v2"
	"time"
)

// Op is a kind of platform call.
type Op string

// Kinds of platform calls.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpSwap   Op = "swap"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
	OpHosts  Op = "hosts"
)

// Ops lists all kinds of platform calls.
var Ops = []Op{OpGet, OpList, OpCreate, OpSwap, OpDelete, OpWatch, OpHosts}

func (o Op) writes() bool {
	return o == OpCreate || o == OpSwap || o == OpDelete
}

// Fault is what goes wrong with one call.
type Fault int

// Faults of a call. A read that meets any fault fails with ErrUnavailable.
const (
	// None lets the call pass.
	None Fault = iota
	// Unavailable fails the call with ErrUnavailable before it takes effect.
	Unavailable
	// ReplyLost fails a write with ErrOutcomeUnknown after it took effect.
	ReplyLost
	// RequestLost fails a write with ErrOutcomeUnknown; it never takes effect.
	RequestLost
	// Late fails a write with ErrOutcomeUnknown; it takes effect later.
	Late
)

// RandomFaults gives the share of calls, 0 to 1, that meet each fault.
type RandomFaults struct {
	Seed        uint64
	Unavailable float64
	ReplyLost   float64
	RequestLost float64
	Late        float64
}

// defaultLateBy is how long a Late write is delayed unless SetLateBy is called.
const defaultLateBy = time.Second

// faultPlan decides which fault a call meets. Scripted faults go first.
type faultPlan struct {
	scripted map[Op][]Fault
	random   RandomFaults
	rng      *rand.Rand
}

func newFaultPlan() faultPlan {
	return faultPlan{scripted: map[Op][]Fault{}}
}

func (p *faultPlan) next(op Op) Fault {
	if q := p.scripted[op]; len(q) > 0 {
		p.scripted[op] = q[1:]
		return q[0]
	}
	if p.rng == nil {
		return None
	}
	x := p.rng.Float64()
	for _, c := range []struct {
		share float64
		fault Fault
	}{
		{p.random.Unavailable, Unavailable},
		{p.random.ReplyLost, ReplyLost},
		{p.random.RequestLost, RequestLost},
		{p.random.Late, Late},
	} {
		if x < c.share {
			return c.fault
		}
		x -= c.share
	}
	return None
}

// FailNext makes the next n calls of op meet the fault.
func (p *Platform) FailNext(op Op, n int, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range n {
		p.faults.scripted[op] = append(p.faults.scripted[op], f)
	}
}

// SetRandomFaults makes calls fail at random from a seed. The zero value ends
// it.
func (p *Platform) SetRandomFaults(r RandomFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.random = r
	p.faults.rng = nil
	if r != (RandomFaults{}) {
		p.faults.rng = rand.New(rand.NewPCG(r.Seed, r.Seed))
	}
}

// SetDown makes every call fail with ErrUnavailable, waiting watches included.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// SetLatency makes each call take d, half of it before the effect. A write
// whose context ends on the way still takes effect.
func (p *Platform) SetLatency(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = d
}

// SetLateBy sets how long a Late write is delayed.
func (p *Platform) SetLateBy(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateBy = d
}

// SetHostLag makes Hosts return the list as it was d ago.
func (p *Platform) SetHostLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLag = d
}
