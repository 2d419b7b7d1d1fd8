package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/store"
)

// recordOf returns a record of the process that started at a time, written at a revision.
func recordOf(started int64, epoch, number uint64) Server {
	return Server{ID: "a", Service: "s", Started: started, Revision: int64(store.NewRevision(epoch, number))}
}

func apply(c *Catalog, s Server, f Freshness) {
	c.Apply([]Change{{ID: s.ID, Server: &s, Revision: s.Revision}}, f)
}

// TestServerThatRestartsAfterItsClockJumpedBackIsFollowed guards against a process whose start seems earlier than that of the one
// before it and whose drain is ignored.
func TestServerThatRestartsAfterItsClockJumpedBackIsFollowed(t *testing.T) {
	c := newCatalog(recordOf(5, 0, 10))
	put(c, recordOf(4, 0, 11))
	assert.Assert(t, c.Usable(Instance{ID: "a", Started: 4}))
	assert.Assert(t, !c.Known(Instance{ID: "a", Started: 5}))
	draining := recordOf(4, 0, 12)
	draining.Draining = true
	put(c, draining)
	assert.Equal(t, len(c.Ready("s")), 0)
}

// TestOlderRevisionBringsNoProcessBack guards against requests for a process that is gone because an older record of it is read,
// whatever its clock said.
func TestOlderRevisionBringsNoProcessBack(t *testing.T) {
	c := newCatalog(recordOf(4, 0, 11))
	put(c, recordOf(5, 0, 10))
	assert.Assert(t, c.Usable(Instance{ID: "a", Started: 4}))
}

// restoredCatalog returns a catalog that knows a process and has then read the record of one that started earlier from a store
// that came back from an older copy.
func restoredCatalog() *Catalog {
	c := newCatalog(recordOf(5, 0, 10))
	apply(c, recordOf(4, 1, 3), sinceOutage(0))
	return c
}

func sinceOutage(d time.Duration) Freshness { return Freshness{AsOf: start.Add(d), OutageEnd: start} }

// TestRestoredRecordBringsNoProcessBack guards against requests for a process of which only a store that came back from an older
// copy has a record.
func TestRestoredRecordBringsNoProcessBack(t *testing.T) {
	c := restoredCatalog()
	assert.Assert(t, c.Usable(Instance{ID: "a", Started: 5}))
	known := recordOf(5, 1, 20)
	assert.Assert(t, !c.Has(&known), "the known process's next record would be taken for a renewal")
	apply(c, known, sinceOutage(time.Second))
	c.RemoveExpired(sinceOutage(restoredGrace))
	assert.Assert(t, c.Usable(Instance{ID: "a", Started: 5}))
}

// TestProcessThatStartedInAnOutageIsFollowed guards against a live process that is ignored because its clock had jumped back and the
// store came back from an older copy.
func TestProcessThatStartedInAnOutageIsFollowed(t *testing.T) {
	c := restoredCatalog()
	apply(c, recordOf(4, 1, 4), sinceOutage(time.Second))
	assert.Assert(t, c.Usable(Instance{ID: "a", Started: 4}), "it has written its record again")

	c = restoredCatalog()
	c.RemoveExpired(sinceOutage(restoredGrace - time.Millisecond))
	assert.Assert(t, c.Usable(Instance{ID: "a", Started: 5}))
	c.RemoveExpired(sinceOutage(restoredGrace))
	assert.Assert(t, c.Usable(Instance{ID: "a", Started: 4}), "the store still has its record")
	apply(c, recordOf(3, 2, 1), sinceOutage(restoredGrace))
	assert.Assert(t, c.Usable(Instance{ID: "a", Started: 3}), "a later epoch, long after the outage")
}
