package autoscale

import (
	"context"
	"fmt"
	"io"
	"math"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/election"
)

const (
	testBoot  = 4 * time.Second
	testSlots = 24
	// notice is how long before they go reclaimed servers say so.
	notice = 2500 * time.Millisecond
	// lag is how much later a change of the servers is known.
	lag = 500 * time.Millisecond
)

// cloud is the platform with the servers of one service, in virtual time.
type cloud struct {
	now     time.Duration
	servers []*vm
	wanted  map[subject]int
	// none returns whether no more reclaimable servers are available in a domain.
	none func(domain string) bool
	// down fails all orders.
	down   bool
	orders int
	cost   float64
	next   int
	prices map[string]float64
}

// vm is a server and when it begins and ends to serve.
type vm struct {
	backend.Server
	ready, gone time.Duration
	reclaimedAt time.Duration
}

func newCloud(domains map[string]float64, each int) *cloud {
	c := &cloud{wanted: map[subject]int{}, none: func(string) bool { return false }, prices: domains}
	for name := range domains {
		c.set(subject{name, OnDemand}, each, 0)
	}
	return c
}

// OrderServers implements Orderer.
func (c *cloud) OrderServers(_ context.Context, t *election.Term, _ string, o Order) error {
	c.orders++
	about := subject{o.Domain, o.Kind}
	switch {
	case c.down:
		return fmt.Errorf("the platform is down")
	case o.Kind == Reclaimable && o.Count > c.count(about) && c.none(o.Domain):
		return ErrNoneAvailable
	}
	c.set(about, o.Count, testBoot)
	return t.Check()
}

// count returns the number of servers of a kind that serve or start.
func (c *cloud) count(about subject) int {
	n := 0
	for _, v := range c.servers {
		if v.Domain == about.domain && kindOf(&v.Server) == about.kind && v.gone == 0 && v.reclaimedAt == 0 {
			n++
		}
	}
	return n
}

// set starts or ends servers.
func (c *cloud) set(about subject, n int, boot time.Duration) {
	for range max(0, n-c.count(about)) {
		c.next++
		c.servers = append(c.servers, &vm{ready: c.now + boot, Server: backend.Server{
			ID: fmt.Sprint("server-", c.next), Domain: about.domain, Slots: testSlots, Reclaimable: about.kind == Reclaimable,
		}})
	}
	for _, v := range c.servers {
		if c.count(about) <= n {
			return
		}
		if v.Domain == about.domain && kindOf(&v.Server) == about.kind && v.gone == 0 && v.reclaimedAt == 0 {
			v.gone = c.now
		}
	}
}

// reclaim takes the reclaimable servers of a domain away.
func (c *cloud) reclaim(domain string) {
	for _, v := range c.servers {
		if v.Domain == domain && v.Reclaimable && v.gone == 0 {
			v.reclaimedAt, v.gone = c.now, c.now+notice
		}
	}
}

// serving returns the number of servers that serve.
func (c *cloud) serving() int {
	n := 0
	for _, v := range c.servers {
		if v.ready <= c.now && (v.gone == 0 || v.gone > c.now) {
			n++
		}
	}
	return n
}

// known returns the servers as daemons know them.
func (c *cloud) known() []*backend.Server {
	var out []*backend.Server
	then := c.now - lag
	for _, v := range c.servers {
		if v.ready > then || v.gone != 0 && v.gone <= then {
			continue
		}
		s := v.Server
		s.Reclaimed = v.reclaimedAt != 0 && v.reclaimedAt <= then
		s.Draining = s.Reclaimed
		out = append(out, &s)
	}
	return out
}

// bill adds the cost of a span of time.
func (c *cloud) bill(d time.Duration) {
	for _, v := range c.servers {
		if v.gone != 0 && v.gone <= c.now {
			continue
		}
		price := c.prices[v.Domain]
		if v.Reclaimable {
			price *= 0.22
		}
		c.cost += price * d.Seconds()
	}
}

// load plays a load, given as the number of slots that requests use, with the platform's events.
type load struct {
	t     *testing.T
	cloud *cloud
	ctrl  *Controller
	// slots is the use of slots at a time.
	slots func(now time.Duration) float64
	// short is the time in which the servers had fewer slots than the requests needed.
	short time.Duration
	// seconds is the number of server seconds that perfect knowledge needs, at the targets.
	seconds float64
}

var testPrices = map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9}

func newLoad(t *testing.T, slots func(time.Duration) float64) *load {
	l := &load{t: t, cloud: newCloud(testPrices, 23), slots: slots}
	clock := func() time.Duration { return l.cloud.now }
	term := election.NewTerm(Role, "daemon", 7, clock, math.MaxInt64)
	l.ctrl = NewController(Config{
		Services: func() []Service {
			return []Service{{Name: "s", Boot: testBoot, Prices: testPrices, Bounds: Bounds{Min: 1, Max: 46, ReclaimablePrice: 0.22}}}
		},
		Servers: func(string) []*backend.Server { return l.cloud.known() },
		Use: func(string) Use {
			ready := 0
			for _, s := range l.cloud.known() {
				if !s.Draining {
					ready++
				}
			}
			return Use{Servers: ready, Requests: l.slots(l.cloud.now), Slots: float64(testSlots * ready)}
		},
		Complete: func() bool { return true }, Orderer: l.cloud, Term: func() *election.Term { return term },
		Clock: clock, Log: log.New(io.Discard), Metrics: metrics.NewRegistry(),
	})
	return l
}

// run plays the load until a time.
func (l *load) run(until time.Duration) {
	for ; l.cloud.now < until; l.cloud.now += tickInterval {
		l.ctrl.tick(l.t.Context())
		use := l.slots(l.cloud.now)
		if float64(testSlots*l.cloud.serving()) < use/openShare {
			l.short += tickInterval
		}
		l.seconds += tickInterval.Seconds() * use / targetOccupancy / testSlots
		l.cloud.bill(tickInterval)
	}
}

// openShare is the share of the slots in use from which less urgent requests are refused.
const openShare = 0.75

// wave is a load that swings around a mean, as callers' do that come in waves.
func wave(mean float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 { return mean * (1 + 0.27*math.Sin(2*math.Pi*now.Seconds()/11)) }
}

// burst multiplies a load within a span of time.
func burst(base func(time.Duration) float64, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return factor * base(now)
		}
		return base(now)
	}
}

// TestServersFollowTheLoad plays waves and bursts. Requests never lack slots, and the cost stays well below that of the
// servers that ran at first.
func TestServersFollowTheLoad(t *testing.T) {
	for name, slots := range map[string]func(time.Duration) float64{
		"waves":          wave(250),
		"low":            wave(40),
		"burst at first": burst(wave(150), 2.8, time.Second, 10*time.Second),
		"burst later":    burst(wave(150), 2.8, 40*time.Second, 49*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			l := newLoad(t, slots)
			l.run(2 * time.Minute)
			all := 0.0
			for _, price := range testPrices {
				all += 23 * price * l.cloud.now.Seconds()
			}
			t.Logf("cost %.0f of %.0f, %.0f server seconds with perfect knowledge, %d orders, short for %s", l.cloud.cost, all, l.seconds, l.cloud.orders, l.short)
			assert.Equal(t, l.short, time.Duration(0))
			assert.Assert(t, l.cloud.cost < all/2)
			assert.Assert(t, l.cloud.orders < 120)
		})
	}
}

// TestReclaimedDomainsLeaveEnoughServers takes the reclaimable servers of one domain after the other away, while none are
// available there or anywhere.
func TestReclaimedDomainsLeaveEnoughServers(t *testing.T) {
	for name, dry := range map[string]bool{"others are available": false, "none are available": true} {
		t.Run(name, func(t *testing.T) {
			l := newLoad(t, wave(300))
			l.run(40 * time.Second)
			for _, domain := range []string{"b", "d", "a"} {
				l.cloud.reclaim(domain)
				l.cloud.none = func(d string) bool { return dry || d == domain }
				l.run(l.cloud.now + 10*time.Second)
			}
			assert.Equal(t, l.short, time.Duration(0))
			l.cloud.none = func(string) bool { return false }
			before := l.cloud.cost
			l.run(l.cloud.now + time.Minute)
			l.run(l.cloud.now + 10*time.Second)
			t.Logf("cost %.0f before, %.0f in 70 s after", before, l.cloud.cost-before)
			onDemand := 0
			for name := range testPrices {
				onDemand += l.cloud.count(subject{name, OnDemand})
			}
			assert.Assert(t, onDemand <= 12, "%d on-demand servers are kept", onDemand)
		})
	}
}

// TestNothingChangesWhileThePlatformIsDown guards against servers that are removed though others can't be ordered, and against
// a flood of orders.
func TestNothingChangesWhileThePlatformIsDown(t *testing.T) {
	l := newLoad(t, wave(100))
	l.cloud.down = true
	l.run(30 * time.Second)
	assert.Equal(t, l.cloud.serving(), 92)
	assert.Assert(t, l.cloud.orders <= 31, "%d orders in 30 s", l.cloud.orders)
	l.cloud.down = false
	l.run(90 * time.Second)
	assert.Equal(t, l.short, time.Duration(0))
	assert.Assert(t, l.cloud.serving() < 60, "%d servers", l.cloud.serving())
}

// TestLostServersAreOrderedAgain guards against a service that stays without servers once all are lost: without servers there
// is no load to follow.
func TestLostServersAreOrderedAgain(t *testing.T) {
	l := newLoad(t, wave(200))
	l.run(40 * time.Second)
	before := l.cloud.serving()
	for _, v := range l.cloud.servers {
		if v.gone == 0 {
			v.gone = l.cloud.now
		}
	}
	l.run(l.cloud.now + testBoot + arrivalMargin + testBoot + 2*time.Second)
	assert.Assert(t, 10*l.cloud.serving() >= 8*before, "%d servers after all %d were lost", l.cloud.serving(), before)
}

// TestPeakOfAWaveIsKept guards against a need that follows the trough of a wave.
func TestPeakOfAWaveIsKept(t *testing.T) {
	var d Demand
	load := wave(240)
	lowest, highest := math.MaxInt, 0
	for now := time.Duration(0); now < time.Minute; now += tickInterval {
		d.Observe(now, Use{Servers: 50, Requests: load(now), Slots: 50 * testSlots}, testBoot)
		if n, known := d.Needed(now); known {
			lowest, highest = min(lowest, n), max(highest, n)
		}
	}
	assert.Assert(t, highest-lowest <= 2, "between %d and %d", lowest, highest)
}
