package mirror

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/store"
)

// keysOf returns the keys of a copy's records and their values.
func keysOf(c *Copy) map[string]string {
	out := map[string]string{}
	for _, e := range c.Records("") {
		out[e.Key] = string(e.Value)
	}
	return out
}

func put(key, value string, epoch, number uint64) store.Entry {
	return store.Entry{Key: key, Value: []byte(value), Revision: store.NewRevision(epoch, number)}
}

// restoredCopy returns a copy of a store that went to revision 9 of epoch 0 and came back from a
// copy at revision 4, and the copy of a daemon that has not noticed yet.
func restoredCopy(t *testing.T, now time.Time) (restored, behind *Copy) {
	newCopy := func() *Copy {
		c := NewCopy(func([]store.Entry, Status) {}, func(store.Entry) bool { return false })
		c.Merge([]store.Entry{put("kept", "old", 0, 1), put("deleted", "x", 0, 2), put("changed", "old", 0, 3)}, store.NewRevision(0, 4), confirmedAt(now))
		c.Merge([]store.Entry{
			put("changed", "new", 0, 5), put("lost", "x", 0, 6), {Key: "deleted", Revision: store.NewRevision(0, 7), Deleted: true},
		}, store.NewRevision(0, 9), confirmedAt(now))
		return c
	}
	restored, behind = newCopy(), newCopy()
	list := []store.Entry{put("kept", "old", 1, 1), put("deleted", "x", 1, 2), put("changed", "old", 1, 3)}
	assert.Assert(t, restored.Replace(list, store.NewRevision(1, 4), confirmedAt(now.Add(time.Second))))
	return restored, behind
}

// TestCopyFollowsAStoreThatCameBack checks that lower revision numbers of a later epoch are
// applied, and that a deleted record stays deleted until it is written again.
func TestCopyFollowsAStoreThatCameBack(t *testing.T) {
	now := time.Unix(1000, 0)
	c, _ := restoredCopy(t, now)
	assert.DeepEqual(t, keysOf(c), map[string]string{"kept": "old", "changed": "old"})
	assert.Equal(t, c.Status().OutageEnd, now.Add(time.Second), "records may be missing for a while")
	c.Merge([]store.Entry{put("changed", "new", 1, 5)}, store.NewRevision(1, 5), confirmedAt(now.Add(time.Second)))
	c.Replace([]store.Entry{put("kept", "old", 1, 1), put("deleted", "x", 1, 2), put("changed", "new", 1, 5)}, store.NewRevision(1, 5), confirmedAt(now.Add(time.Second)))
	assert.DeepEqual(t, keysOf(c), map[string]string{"kept": "old", "changed": "new"})
	c.Merge([]store.Entry{put("deleted", "y", 1, 6)}, store.NewRevision(1, 6), confirmedAt(now.Add(time.Second)))
	assert.DeepEqual(t, keysOf(c), map[string]string{"kept": "old", "changed": "new", "deleted": "y"})
}

// TestPeersFollowTheLaterEpoch checks that daemons of two epochs end with the records of the later one,
// whichever tells the other first.
func TestPeersFollowTheLaterEpoch(t *testing.T) {
	now := time.Unix(1000, 0)
	restored, behind := restoredCopy(t, now)
	want := keysOf(restored)
	changes, at, complete := behind.ChangesSince(restored.Status().Revision)
	assert.Assert(t, complete)
	restored.Replace(changes, at, confirmedAt(now))
	assert.DeepEqual(t, keysOf(restored), want)
	changes, at, complete = restored.ChangesSince(behind.Status().Revision)
	assert.Assert(t, complete, "changes alone don't lead from one epoch to another")
	assert.Assert(t, !behind.Merge(changes, at, confirmedAt(now)))
	assert.Assert(t, behind.Replace(changes, at, confirmedAt(now)))
	assert.DeepEqual(t, keysOf(behind), want)
	assert.Equal(t, behind.Status().Revision, restored.Status().Revision)

	// The daemon then reads the store itself.
	list := []store.Entry{put("kept", "old", 1, 1), put("deleted", "x", 1, 2), put("changed", "old", 1, 3)}
	behind.Replace(list, store.NewRevision(1, 4), confirmedAt(now))
	assert.DeepEqual(t, keysOf(behind), want)
}

// A withheld key is kept no longer than the deletion that it stands for.
func TestWithheldRecordsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	c, _ := restoredCopy(t, now)
	assert.Equal(t, len(c.withheld), 1)
	c.Merge(nil, store.NewRevision(1, 9), confirmedAt(now.Add(tombstoneAge+2*time.Second)))
	assert.Equal(t, len(c.withheld), 0)
}
