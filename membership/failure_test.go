package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// detectionLimit limits the time until a crashed daemon is dead at all others:
// the failed probe, the suspicion timeout and the dissemination.
const detectionLimit = 20 * time.Second

func TestCrashedDaemonIsDetected(t *testing.T) {
	for _, n := range []int{7, 50} {
		inCluster(t, n, 0, func(c *cluster) {
			c.kill("entry-003")
			took := c.waitFor(detectionLimit, "death of entry-003", func(o string) bool { return c.stateOf(o, "entry-003") == 0 })
			t.Logf("%d daemons: dead everywhere after %v", n, took)
			for o := range c.services {
				assert.Assert(t, len(c.services[o].Schedulers()) == n-1)
			}
		})
	}
}

// TestPausedDaemonReturns checks that a daemon that resumes after a pause becomes
// alive again and causes no deaths of others.
func TestPausedDaemonReturns(t *testing.T) {
	inCluster(t, 7, 0, func(c *cluster) {
		c.net.Pause("entry-002")
		c.waitFor(detectionLimit, "death of entry-002", func(o string) bool {
			return o == "entry-002" || c.stateOf(o, "entry-002") == 0
		})
		c.advance(30 * time.Second)
		c.net.Resume("entry-002")
		deaths := func() (sum int64) {
			for _, s := range c.services {
				sum += s.metrics.deaths.Count()
			}
			return sum
		}
		before := deaths()
		c.waitFor(10*time.Second, "return of entry-002", c.allAlive)
		c.advance(30 * time.Second)
		assert.Equal(t, deaths(), before, "the returning daemon caused deaths of others")
	})
}

// TestOneWayCutCausesNoDeath checks that indirect probes keep two daemons alive
// to each other when messages between them are lost in one direction.
func TestOneWayCutCausesNoDeath(t *testing.T) {
	inCluster(t, 7, 0, func(c *cluster) {
		c.net.Cut("entry-001", "entry-002")
		for range 120 {
			c.advance(time.Second)
			for o := range c.services {
				assert.Assert(t, c.stateOf(o, "entry-002") != 0 && c.stateOf(o, "entry-001") != 0)
			}
		}
	})
}

func TestDaemonCutFromAllIsDead(t *testing.T) {
	inCluster(t, 7, 0, func(c *cluster) {
		for _, o := range c.names {
			if o != "entry-004" {
				c.net.Cut(o, "entry-004")
			}
		}
		c.waitFor(detectionLimit, "death of entry-004", func(o string) bool {
			return o == "entry-004" || c.stateOf(o, "entry-004") == 0
		})
		for _, o := range c.names {
			c.net.Heal(o, "entry-004")
		}
		c.waitFor(30*time.Second, "return of entry-004", c.allAlive)
	})
}

// TestDaemonThatOnlySendsIsDead checks that a daemon which sends messages but
// receives none is declared dead.
func TestDaemonThatOnlySendsIsDead(t *testing.T) {
	inCluster(t, 2, 0, func(c *cluster) {
		c.net.Cut("entry-000", "entry-001")
		c.advance(detectionLimit)
		assert.Equal(t, c.stateOf("entry-000", "entry-001"), DaemonState(0))
	})
}

func TestReplacedDaemonSupersedes(t *testing.T) {
	inCluster(t, 7, 0, func(c *cluster) {
		old := c.services["entry-005"].Self().Incarnation
		c.kill("entry-005")
		c.advance(time.Second)
		c.start("entry-005", 99)
		c.waitFor(5*time.Second, "replacement of entry-005", func(o string) bool {
			for _, d := range c.services[o].Daemons() {
				if d.Name == "entry-005" {
					return d.Incarnation > old && d.State == Alive
				}
			}
			return false
		})
	})
}

func TestNewerDaemonOfSameNameWins(t *testing.T) {
	inCluster(t, 3, 0, func(c *cluster) {
		s := c.services["entry-001"]
		taken := record{Name: "entry-001", Incarnation: s.Self().Incarnation + 1000, State: Alive, PeerAddr: "elsewhere:7000"}
		s.update(func() { s.mergeDaemon(taken) })
		assert.Equal(t, s.Self().State, Leaving)
		assert.Assert(t, len(s.Schedulers()) == 2)
	})
}

func TestLossAndDuplicatesCauseNoDeaths(t *testing.T) {
	inCluster(t, 20, 0, func(c *cluster) {
		c.net.SetLoss(0.2, 0.1)
		c.advance(3 * time.Minute)
		for o, s := range c.services {
			assert.Equal(t, s.metrics.deaths.Count(), int64(0), o)
		}
		c.net.SetLoss(0, 0)
		c.waitFor(30*time.Second, "full membership", c.allAlive)
	})
}

// TestRegionsFindBackTogether checks that two groups of daemons merge again after
// a network partition of an hour, during which each declared the other dead and
// forgot it.
func TestRegionsFindBackTogether(t *testing.T) {
	inCluster(t, 8, 0, func(c *cluster) {
		cross := func(do func(a, b string)) {
			for i, a := range c.names {
				for j, b := range c.names {
					if i < 4 != (j < 4) {
						do(a, b)
					}
				}
			}
		}
		cross(c.net.Cut)
		c.waitFor(time.Minute, "two groups", func(o string) bool { return len(c.services[o].Daemons()) == 4 })
		c.advance(time.Hour)
		cross(c.net.Heal)
		took := c.waitFor(time.Minute, "one group", c.allAlive)
		t.Logf("one group %v after an hour apart", took)
	})
}

func TestPlannedStopIsSeenAtOnce(t *testing.T) {
	inCluster(t, 7, 0, func(c *cluster) {
		leaver := c.services["entry-006"]
		leaver.Leave()
		c.waitFor(time.Second, "leaving of entry-006", func(o string) bool {
			return c.stateOf(o, "entry-006") == Leaving && len(c.services[o].Schedulers()) == 6
		})
		assert.NilError(t, leaver.Stop(t.Context()))
		delete(c.services, "entry-006")
		c.waitFor(2*time.Second, "end of entry-006", func(o string) bool { return c.stateOf(o, "entry-006") == 0 })
	})
}

func TestDeadDaemonsAreForgotten(t *testing.T) {
	inCluster(t, 3, 0, func(c *cluster) {
		c.kill("entry-002")
		c.advance(DefaultForgetAfter + time.Minute)
		s := c.services["entry-001"]
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, len(s.members), 1)
	})
}

func TestLoadAndBundleVersionSpread(t *testing.T) {
	inCluster(t, 7, 0, func(c *cluster) {
		c.services["entry-001"].SetLoad(42)
		c.services["entry-001"].SetBundleVersion(9)
		c.waitFor(20*time.Second, "load of entry-001", func(o string) bool {
			for _, d := range c.services[o].Daemons() {
				if d.Name == "entry-001" {
					return o == d.Name || d.Load == 42 && d.BundleVersion == 9
				}
			}
			return false
		})
	})
}
