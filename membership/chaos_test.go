package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/store"
)

const (
	chaosSeeds   = 8
	chaosSteps   = 40
	chaosDaemons = 7
	chaosServers = 8
	// convergeLimit limits the time to agreement after the last fault. It covers
	// leavingHold, and the rejoin of daemons that are all dead to each other.
	convergeLimit = 2 * time.Minute
)

// chaos applies random faults to a cluster and tracks the state that the daemons
// must agree on once the faults end.
type chaos struct {
	*cluster
	rng    *rand.Rand
	cuts   [][2]string
	paused []string
	down   []string
	nextIP int
}

// TestAgreementAfterRandomFaults checks that all daemons agree with the model
// after random sequences of crashes, replacements, pauses, one-way cuts, lost
// and duplicated messages, host list outages and server changes.
func TestAgreementAfterRandomFaults(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := &chaos{cluster: newCluster(t, chaosDaemons, chaosServers), rng: rand.New(rand.NewPCG(seed, 1))}
				defer x.stop()
				for range chaosSteps {
					x.step()
					x.advance(time.Duration(x.rng.IntN(8000)) * time.Millisecond)
				}
				x.endFaults()
				x.waitFor(convergeLimit, "agreement on daemons", x.allAlive)
				x.waitFor(convergeLimit, "agreement on servers", x.serversMatch)
			})
		})
	}
}

// randomName returns the name of a random daemon, which may be down.
func (x *chaos) randomName() string { return fmt.Sprintf("entry-%03d", x.rng.IntN(chaosDaemons)) }

// step starts or ends one random fault.
func (x *chaos) step() {
	switch x.rng.IntN(10) {
	case 0:
		x.crash()
	case 1, 2:
		x.replace()
	case 3:
		x.cut()
	case 4:
		x.heal()
	case 5:
		x.pause()
	case 6:
		x.resume()
	case 7:
		x.net.SetLoss(0.2*x.rng.Float64(), 0.1)
	case 8:
		x.list.set(func(l *hostList) { l.down = !l.down })
	case 9:
		x.changeServer()
	}
}

// crash kills a daemon if more than three are running.
func (x *chaos) crash() {
	name := x.randomName()
	if x.services[name] == nil || len(x.services) <= 3 {
		return
	}
	x.kill(name)
	x.down = append(x.down, name)
	x.paused = slices.DeleteFunc(x.paused, func(n string) bool { return n == name })
}

func (x *chaos) replace() {
	if len(x.down) == 0 {
		return
	}
	x.start(x.down[0], x.rng.Uint64())
	x.down = x.down[1:]
}

func (x *chaos) cut() {
	from, to := x.randomName(), x.randomName()
	if from != to {
		x.net.Cut(from, to)
		x.cuts = append(x.cuts, [2]string{from, to})
	}
}

func (x *chaos) heal() {
	if len(x.cuts) > 0 {
		x.net.Heal(x.cuts[0][0], x.cuts[0][1])
		x.cuts = x.cuts[1:]
	}
}

func (x *chaos) pause() {
	name := x.randomName()
	if x.services[name] != nil && len(x.paused) < 2 {
		x.net.Pause(name)
		x.paused = append(x.paused, name)
	}
}

func (x *chaos) resume() {
	if len(x.paused) > 0 {
		x.net.Resume(x.paused[0])
		x.paused = x.paused[1:]
	}
}

// changeServer changes the state or the address of a server in the host list, or
// reports at one daemon that the server is leaving.
func (x *chaos) changeServer() {
	i := x.rng.IntN(chaosServers)
	switch x.rng.IntN(4) {
	case 0:
		x.list.set(func(l *hostList) { l.hosts[i].State = store.HostLeaving })
	case 1:
		x.list.set(func(l *hostList) { l.hosts[i].State = store.HostLive })
	case 2:
		x.nextIP++
		x.list.set(func(l *hostList) { l.hosts[i].Addr = fmt.Sprintf("10.0.9.%d:8000", x.nextIP) })
	case 3:
		for _, s := range x.services {
			s.ReportLeaving(serverHost(i).Name)
			return
		}
	}
}

// endFaults ends all faults and restarts all daemons that are down.
func (x *chaos) endFaults() {
	for len(x.cuts) > 0 {
		x.heal()
	}
	for len(x.paused) > 0 {
		x.resume()
	}
	for len(x.down) > 0 {
		x.replace()
	}
	x.net.SetLoss(0, 0)
	x.list.set(func(l *hostList) { l.down = false })
}

// serversMatch reports whether an observer's servers equal the host list.
func (x *chaos) serversMatch(observer string) bool {
	for _, h := range x.list.hosts {
		srv, ok := x.services[observer].Server(h.Name)
		if !ok || srv.Addr != h.Addr || srv.Leaving != (h.State == store.HostLeaving) {
			return false
		}
	}
	return len(x.services[observer].Servers("pembantu-llm")) == len(x.list.hosts)
}

// TestServersMatchDetectsMismatch checks that serversMatch fails on a server in a
// wrong state.
func TestServersMatchDetectsMismatch(t *testing.T) {
	inCluster(t, 3, chaosServers, func(c *cluster) {
		x := &chaos{cluster: c}
		assert.Assert(t, x.serversMatch("entry-001"))
		c.services["entry-001"].ReportLeaving("llm-03")
		assert.Assert(t, !x.serversMatch("entry-001"))
	})
}
