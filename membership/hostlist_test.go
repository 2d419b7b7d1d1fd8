package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/store"
)

// leavingLimit limits the time from a change of the host list until all daemons
// know it, so that a leaving server gets no new work.
const leavingLimit = 3 * time.Second

func (c *cluster) leaving(observer, server string) bool {
	srv, ok := c.services[observer].Server(server)
	return !ok || srv.Leaving
}

func TestLeavingServerIsSeenEverywhereInTime(t *testing.T) {
	for _, n := range []int{7, 50} {
		inCluster(t, n, 20, func(c *cluster) {
			c.list.set(func(l *hostList) { l.hosts[4].State = store.HostLeaving })
			took := c.waitFor(leavingLimit, "leaving of llm-04", func(o string) bool { return c.leaving(o, "llm-04") })
			t.Logf("%d daemons: leaving seen everywhere after %v", n, took)
			c.list.set(func(l *hostList) { l.hosts = l.hosts[:19] })
			c.waitFor(leavingLimit, "end of llm-19", func(o string) bool {
				_, ok := c.services[o].Server("llm-19")
				return !ok
			})
			assert.Equal(t, len(c.services["entry-000"].Servers("pembantu-llm")), 19)
		})
	}
}

func TestLeavingServerIsSeenUnderLoss(t *testing.T) {
	inCluster(t, 20, 5, func(c *cluster) {
		c.net.SetLoss(0.2, 0.1)
		c.list.set(func(l *hostList) { l.hosts[4].State = store.HostLeaving })
		c.waitFor(leavingLimit, "leaving of llm-04", func(o string) bool { return c.leaving(o, "llm-04") })
	})
}

func TestReportLeavingOutlastsStaleHostList(t *testing.T) {
	inCluster(t, 20, 5, func(c *cluster) {
		c.services["entry-007"].ReportLeaving("llm-02")
		took := c.waitFor(time.Second, "report of llm-02", func(o string) bool { return c.leaving(o, "llm-02") })
		t.Logf("report seen everywhere after %v", took)
		for range int(leavingHold/time.Second) - 2 {
			c.advance(time.Second)
			for o := range c.services {
				assert.Assert(t, c.leaving(o, "llm-02"))
			}
		}
		c.waitFor(10*time.Second, "return of llm-02", func(o string) bool { return !c.leaving(o, "llm-02") })
	})
}

func TestReplacedServerIsUsedAtOnce(t *testing.T) {
	inCluster(t, 7, 5, func(c *cluster) {
		c.services["entry-001"].ReportLeaving("llm-02")
		c.list.set(func(l *hostList) { l.hosts[2].Addr = "10.0.9.9:8000" })
		c.waitFor(leavingLimit, "new address of llm-02", func(o string) bool {
			srv, ok := c.services[o].Server("llm-02")
			return ok && !srv.Leaving && srv.Addr == "10.0.9.9:8000"
		})
	})
}

func TestHostListOutageKeepsTheLastList(t *testing.T) {
	inCluster(t, 7, 5, func(c *cluster) {
		c.list.set(func(l *hostList) { l.down = true })
		c.advance(time.Hour)
		for _, s := range c.services {
			assert.Equal(t, len(s.Servers("pembantu-llm")), 5)
		}
		c.list.set(func(l *hostList) { l.down, l.hosts = false, nil })
		c.advance(time.Minute)
		for _, s := range c.services {
			assert.Equal(t, len(s.Servers("pembantu-llm")), 5, "an empty list counts as an outage")
		}
		c.list.set(func(l *hostList) { l.hosts = []store.Host{serverHost(0)} })
		c.waitFor(leavingLimit, "the new list", func(o string) bool { return len(c.services[o].Servers("pembantu-llm")) == 1 })
	})
}

func TestDaemonStartsDuringHostListOutage(t *testing.T) {
	inCluster(t, 3, 5, func(c *cluster) {
		c.list.set(func(l *hostList) { l.down = true })
		c.start("entry-new", 77)
		c.waitFor(5*time.Second, "servers at the new daemon", func(o string) bool {
			return len(c.services[o].Servers("pembantu-llm")) == 5
		})
	})
}

// TestPollsDoNotGrowWithTheFleet checks the total number of polls. It allows for
// one extra poll per change of pollers, when daemons may briefly disagree about
// the term.
func TestPollsDoNotGrowWithTheFleet(t *testing.T) {
	const seconds = 60
	for _, n := range []int{7, 50} {
		inCluster(t, n, 5, func(c *cluster) {
			c.list.takeCalls()
			c.advance(seconds * time.Second)
			calls := c.list.takeCalls()
			t.Logf("%d daemons: %d polls in %d s", n, calls, seconds)
			assert.Assert(t, calls <= pollersPerRegion*(seconds+seconds/10))
			assert.Assert(t, calls >= seconds)
		})
	}
}
