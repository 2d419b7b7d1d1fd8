package backend

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func newCatalog(servers ...Server) *Catalog {
	c := NewCatalog(log.New(io.Discard))
	c.SetStoreAway(false, start.Add(-time.Hour))
	for _, s := range servers {
		put(c, s)
	}
	return c
}

func ids(servers []*Server) []string {
	var out []string
	for _, s := range servers {
		out = append(out, s.ID)
	}
	return out
}

func TestDrainingServersGetNothingNew(t *testing.T) {
	c := newCatalog(Server{ID: "a", Service: "s"}, Server{ID: "b", Service: "s"}, Server{ID: "c", Service: "u"})
	assert.DeepEqual(t, ids(c.Ready("s")), []string{"a", "b"})
	put(c, Server{ID: "a", Service: "s", Draining: true})
	assert.DeepEqual(t, ids(c.Ready("s")), []string{"b"})
	assert.Assert(t, !c.Usable(Life{ID: "a"}))
	assert.Assert(t, c.Known(Life{ID: "a"}))
}

func TestServerThatLeavesWhileTheStoreAnswersIsGoneAtOnce(t *testing.T) {
	c := newCatalog(Server{ID: "a", Service: "s"})
	remove(c, "a", 7, start)
	assert.Equal(t, len(c.Ready("s")), 0)
	assert.Assert(t, !c.Known(Life{ID: "a"}))
}

// TestRecordsThatExpireInAnOutageStayUntilTheGraceIsOver: records of live
// servers are back within two seconds of the store's return; what is missing
// then is gone.
func TestRecordsThatExpireInAnOutageStayUntilTheGraceIsOver(t *testing.T) {
	c := newCatalog(Server{ID: "back", Service: "s"}, Server{ID: "gone", Service: "s"}, Server{ID: "left", Service: "s", Draining: true})
	c.SetStoreAway(true, start)
	remove(c, "left", 1, start)
	assert.Assert(t, !c.Known(Life{ID: "left"}), "a draining server does not come back")
	returned := start.Add(time.Minute)
	c.SetStoreAway(false, returned)
	remove(c, "back", 2, returned)
	remove(c, "gone", 3, returned.Add(time.Second))
	c.Settle(returned.Add(expiryGrace - time.Millisecond))
	assert.DeepEqual(t, ids(c.Ready("s")), []string{"back", "gone"})
	put(c, Server{ID: "back", Service: "s"})
	c.Settle(returned.Add(expiryGrace))
	assert.DeepEqual(t, ids(c.Ready("s")), []string{"back"})
}

func TestANewLifeOfAServerIsAnotherServer(t *testing.T) {
	c := newCatalog(Server{ID: "a", Service: "s", Started: 1})
	old := Life{ID: "a", Started: 1}
	assert.Assert(t, c.Usable(old))
	put(c, Server{ID: "a", Service: "s", Started: 2})
	assert.Assert(t, !c.Usable(old))
	assert.Assert(t, c.Usable(Life{ID: "a", Started: 2}))
}

func TestUnreadableRecordTakesOnlyItsOwnServerOut(t *testing.T) {
	c := newCatalog(Server{ID: "a", Service: "s"}, Server{ID: "b", Service: "s"})
	c.SetStoreAway(true, start)
	discard(c, "a", 5)
	discard(c, "never known", 6)
	assert.DeepEqual(t, ids(c.Ready("s")), []string{"b"})
}

func put(c *Catalog, s Server) {
	c.Apply([]Change{{ID: s.ID, Server: &s, Revision: s.Revision}}, time.Time{})
}

func remove(c *Catalog, id string, revision int64, now time.Time) {
	c.Apply([]Change{{ID: id, Revision: revision}}, now)
}

func discard(c *Catalog, id string, revision int64) {
	c.Apply([]Change{{ID: id, Unusable: true, Revision: revision}}, time.Time{})
}

// heartbeats returns the records of n servers at a revision.
func heartbeats(n int, revision int64) []Change {
	var all []Change
	for i := range n {
		id := fmt.Sprint("server-", i)
		all = append(all, Change{ID: id, Server: &Server{ID: id, Service: "s", Addr: id, Revision: revision}, Revision: revision})
	}
	return all
}

// TestWorkGrowsWithTheRecordsOnly: a start reads all records at once, and most
// later ones only say that a server lives. Neither may cost a copy of the
// catalog for each record.
func TestWorkGrowsWithTheRecordsOnly(t *testing.T) {
	const n, mostAllocsEach = 3000, 30
	all := heartbeats(n, 1)
	start := testing.AllocsPerRun(1, func() {
		NewCatalog(log.New(io.Discard)).Apply(all, time.Time{})
	})
	assert.Assert(t, start < mostAllocsEach*n, "%v allocations", start)
	c := NewCatalog(log.New(io.Discard))
	c.Apply(all, time.Time{})
	assert.Equal(t, len(c.Ready("s")), n)
	before := c.Ready("s")
	beats := heartbeats(n, 2)
	assert.Equal(t, testing.AllocsPerRun(1, func() { c.Apply(beats, time.Time{}) }), 0.0)
	assert.Equal(t, &c.Ready("s")[0], &before[0], "heartbeats made a new copy")
}
