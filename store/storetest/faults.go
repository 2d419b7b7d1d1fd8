package storetest

import (
	"math/rand/v2"
	"time"
)

// Op is the type of a platform call.
type Op string

// Types of platform calls.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpSwap   Op = "swap"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
	OpHosts  Op = "hosts"
)

// Ops lists all types of platform calls.
var Ops = []Op{OpGet, OpList, OpCreate, OpSwap, OpDelete, OpWatch, OpHosts}

func (o Op) writes() bool {
	return o == OpCreate || o == OpSwap || o == OpDelete
}

// Fault is an injected fault of one call.
type Fault int

// Faults of a call. A read with any fault fails with ErrUnavailable.
const (
	// NoFault injects no fault.
	NoFault Fault = iota
	// Unavailable fails the call with ErrUnavailable before it takes effect.
	Unavailable
	// ReplyLost fails a write with ErrOutcomeUnknown after it took effect.
	ReplyLost
	// RequestLost fails a write with ErrOutcomeUnknown; it never takes effect.
	RequestLost
	// Late fails a write with ErrOutcomeUnknown; it takes effect later.
	Late
)

// RandomFaults gives the probability, from 0 to 1, of each fault, and the seed
// of the random number generator.
type RandomFaults struct {
	Seed        uint64
	Unavailable float64
	ReplyLost   float64
	RequestLost float64
	Late        float64
}

// defaultLateBy is the delay after which a Late write takes effect unless
// SetLateBy is called.
const defaultLateBy = time.Second

// faultPlan selects the fault of each call. Scripted faults are used before
// random ones.
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
		return NoFault
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
	return NoFault
}

// FailNext injects the fault into the next n calls of op.
func (p *Platform) FailNext(op Op, n int, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range n {
		p.faults.scripted[op] = append(p.faults.scripted[op], f)
	}
}

// SetRandomFaults makes calls fail at random. The zero value disables random
// faults.
func (p *Platform) SetRandomFaults(r RandomFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.random = r
	p.faults.rng = nil
	if r != (RandomFaults{}) {
		p.faults.rng = rand.New(rand.NewPCG(r.Seed, r.Seed))
	}
}

// SetDown makes every call fail with ErrUnavailable, including watches that are
// waiting, or ends this state.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// SetLatency sets the duration of each call. A write takes effect after half of
// it, even if its context ends meanwhile.
func (p *Platform) SetLatency(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = d
}

// SetLateBy sets the delay after which a Late write takes effect.
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
