package backend

import (
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
		c.Put(s)
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
	c.Put(Server{ID: "a", Service: "s", Draining: true})
	assert.DeepEqual(t, ids(c.Ready("s")), []string{"b"})
	assert.Assert(t, !c.Usable(Life{ID: "a"}))
	assert.Assert(t, c.Known(Life{ID: "a"}))
}

func TestServerThatLeavesWhileTheStoreAnswersIsGoneAtOnce(t *testing.T) {
	c := newCatalog(Server{ID: "a", Service: "s"})
	c.Remove("a", 7, start)
	assert.Equal(t, len(c.Ready("s")), 0)
	assert.Assert(t, !c.Known(Life{ID: "a"}))
}

// TestRecordsThatLapseInAnOutageStayUntilTheGraceIsOver: records of live
// servers are back within two seconds of the store's return; what is missing
// then is gone.
func TestRecordsThatLapseInAnOutageStayUntilTheGraceIsOver(t *testing.T) {
	c := newCatalog(Server{ID: "back", Service: "s"}, Server{ID: "gone", Service: "s"}, Server{ID: "left", Service: "s", Draining: true})
	c.SetStoreAway(true, start)
	c.Remove("left", 1, start)
	assert.Assert(t, !c.Known(Life{ID: "left"}), "a draining server does not come back")
	returned := start.Add(time.Minute)
	c.SetStoreAway(false, returned)
	c.Remove("back", 2, returned)
	c.Remove("gone", 3, returned.Add(time.Second))
	c.Settle(returned.Add(lapseGrace - time.Millisecond))
	assert.DeepEqual(t, ids(c.Ready("s")), []string{"back", "gone"})
	c.Put(Server{ID: "back", Service: "s"})
	c.Settle(returned.Add(lapseGrace))
	assert.DeepEqual(t, ids(c.Ready("s")), []string{"back"})
}

func TestANewLifeOfAServerIsAnotherServer(t *testing.T) {
	c := newCatalog(Server{ID: "a", Service: "s", Started: 1})
	old := Life{ID: "a", Started: 1}
	assert.Assert(t, c.Usable(old))
	c.Put(Server{ID: "a", Service: "s", Started: 2})
	assert.Assert(t, !c.Usable(old))
	assert.Assert(t, c.Usable(Life{ID: "a", Started: 2}))
}

func TestUnreadableRecordTakesOnlyItsOwnServerOut(t *testing.T) {
	c := newCatalog(Server{ID: "a", Service: "s"}, Server{ID: "b", Service: "s"})
	c.SetStoreAway(true, start)
	c.Discard("a", 5)
	c.Discard("never known", 6)
	assert.DeepEqual(t, ids(c.Ready("s")), []string{"b"})
}
