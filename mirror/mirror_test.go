package mirror

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/store"
)

// history is a store whose every revision is known.
type history struct {
	log []store.Entry
}

func (h *history) put(key, value string) {
	h.log = append(h.log, store.Entry{Key: key, Value: []byte(value), Revision: h.at() + 1})
}

func (h *history) remove(key string) {
	h.log = append(h.log, store.Entry{Key: key, Revision: h.at() + 1, Deleted: true})
}

func (h *history) at() store.Revision { return store.Revision(len(h.log)) }

// state returns the records as of a revision.
func (h *history) state(at store.Revision) map[string]store.Entry {
	out := map[string]store.Entry{}
	for _, e := range h.log[:at] {
		if e.Deleted {
			delete(out, e.Key)
		} else {
			out[e.Key] = e
		}
	}
	return out
}

func values(entries map[string]store.Entry) []store.Entry {
	var out []store.Entry
	for _, e := range entries {
		out = append(out, e)
	}
	return out
}

func asMap(entries []store.Entry) map[string]store.Entry {
	out := map[string]store.Entry{}
	for _, e := range entries {
		out[e.Key] = e
	}
	return out
}

// TestCopyNeverGoesBack merges reads of the store and answers of a peer in any
// order. The copy is always the state at its revision or newer, by key.
func TestCopyNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{}
		seen := map[string]store.Revision{}
		local := NewCopy(func(changes []store.Entry) {
			for _, e := range changes {
				if e.Revision <= seen[e.Key] {
					t.Fatalf("%s went from revision %d to %d", e.Key, seen[e.Key], e.Revision)
				}
				seen[e.Key] = e.Revision
			}
		})
		other := NewCopy(func([]store.Entry) {})
		now := time.Unix(0, 0)
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key")) })
		watch := func(c *Copy) {
			after := c.Status().At
			c.Merge(h.log[after:], h.at(), now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { h.put(key.Draw(t, "key"), fmt.Sprint(h.at())) },
			"remove": func(t *rapid.T) { h.remove(key.Draw(t, "key")) },
			"watch":  func(*rapid.T) { watch(local) },
			"peer watch": func(*rapid.T) {
				watch(other)
			},
			"list": func(t *rapid.T) {
				at := store.Revision(rapid.IntRange(0, len(h.log)).Draw(t, "at"))
				local.Replace(values(h.state(at)), at, now)
			},
			"peer": func(*rapid.T) {
				changes, at, complete := other.Since(local.Status().At)
				if at <= local.Status().At {
					return
				}
				if complete {
					local.Replace(changes, at, now)
				} else {
					local.Merge(changes, at, now)
				}
			},
			"": func(t *rapid.T) {
				at := local.Status().At
				want := h.state(at)
				got := asMap(local.Records(""))
				if len(got) != len(want) {
					t.Fatalf("at %d: %d records, want %d", at, len(got), len(want))
				}
				for k, e := range want {
					if got[k].Revision != e.Revision {
						t.Fatalf("at %d: %s has revision %d, want %d", at, k, got[k].Revision, e.Revision)
					}
				}
			},
		})
	})
}

func TestReplaceReportsDeletionsOfUnlistedRecords(t *testing.T) {
	var got []store.Entry
	c := NewCopy(func(changes []store.Entry) { got = changes })
	now := time.Unix(0, 0)
	c.Merge([]store.Entry{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, 2, now)
	c.Replace([]store.Entry{{Key: "a", Revision: 1}}, 5, now)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Key, "b")
	assert.Assert(t, got[0].Deleted)
	c.Merge([]store.Entry{{Key: "b", Revision: 2}}, 2, now)
	assert.Equal(t, len(c.Records("b")), 0, "an older record does not undo a deletion")
}

func TestSinceIsCompleteOnceDeletionsAreForgotten(t *testing.T) {
	c := NewCopy(func([]store.Entry) {})
	now := time.Unix(0, 0)
	c.Merge([]store.Entry{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}, 2, now)
	c.Merge([]store.Entry{{Key: "b", Revision: 3, Deleted: true}}, 3, now)
	changes, _, complete := c.Since(2)
	assert.Assert(t, !complete)
	assert.Equal(t, len(changes), 1)
	c.Merge(nil, 4, now.Add(tombstoneAge+time.Second))
	changes, at, complete := c.Since(2)
	assert.Assert(t, complete, "the deletion of b is no longer known")
	assert.Equal(t, at, store.Revision(4))
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Key, "a")
}

func TestPackedRecordsUnpack(t *testing.T) {
	records := []store.Entry{{Key: "a", Value: []byte("x"), Revision: 7}, {Key: "b", Revision: 9, Deleted: true}}
	packed, err := pack(records)
	assert.NilError(t, err)
	got, err := unpack(packed)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, records)
	_, err = unpack([]byte("no records"))
	assert.Assert(t, err != nil)
}
