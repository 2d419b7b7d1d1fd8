// Package mirror keeps a local copy of records in the platform's store.
//
// The store's revisions order all changes, so a copy is merged from the store
// and from other daemons in any order and never goes back to an older record.
// A daemon that the store refuses is kept up to date by its peers.
package mirror

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/store"
)

// tombstoneAge is how long deletions are remembered for peers. A peer that is
// further behind gets all records.
const tombstoneAge = 2 * time.Minute

// Status tells how current a copy is.
type Status struct {
	// At is the revision up to which the copy is complete; zero means that
	// nothing is known yet.
	At store.Revision
	// Away is set while the store does not answer the local daemon.
	Away bool
	// Since is when Away last changed.
	Since time.Time
	// Updated is when the copy was last known to be current, by the store or by
	// a peer.
	Updated time.Time
}

// Copy holds the records. It is safe for concurrent use.
type Copy struct {
	mu      sync.Mutex
	records map[string]record
	deleted map[string]tombstone
	// horizon is the highest revision of a forgotten deletion.
	horizon store.Revision
	at      store.Revision
	away    bool
	since   time.Time
	updated time.Time
	changed func([]store.Entry)
	renews  func(store.Entry) bool
}

// record is a record of the store.
type record struct {
	// Entry has the newest revision that was seen.
	store.Entry
	// said is the revision at which the record last said anything new.
	said store.Revision
}

type tombstone struct {
	revision store.Revision
	when     time.Time
}

// NewCopy returns an empty copy. The callback gets every batch of records that
// changed, in the order of their merging, and must not call the copy. The
// function renews reports whether a new record of a key that is known only says
// that what was known is still true, as heartbeats do. Such records are neither
// passed to the callback nor to other daemons.
func NewCopy(changed func([]store.Entry), renews func(store.Entry) bool) *Copy {
	return &Copy{
		records: map[string]record{},
		deleted: map[string]tombstone{},
		away:    true,
		changed: changed,
		renews:  renews,
	}
}

// Status returns how current the copy is.
func (c *Copy) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Status{At: c.at, Away: c.away, Since: c.since, Updated: c.updated}
}

// SetAway records whether the store answers and reports whether that changed.
// Before the first call, nobody knows and it counts as away.
func (c *Copy) SetAway(away bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away == away && !c.since.IsZero() {
		return false
	}
	c.away, c.since = away, now
	return true
}

// Records returns the records whose keys have a prefix, in key order.
func (c *Copy) Records(prefix string) []store.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []store.Entry
	for key, e := range c.records {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e.Entry)
		}
	}
	slices.SortFunc(out, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Merge takes over changes that make the copy complete up to revision at, as the
// store was at a time. If the copy is complete beyond that, they are old: a
// record that was only renewed since would take them for new.
func (c *Copy) Merge(changes []store.Entry, at store.Revision, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at < c.at {
		return
	}
	c.merge(changes, asOf)
	c.advance(at, asOf)
}

// advance notes how far the copy is complete.
func (c *Copy) advance(at store.Revision, asOf time.Time) {
	c.at = max(c.at, at)
	if asOf.After(c.updated) {
		c.updated = asOf
	}
	c.forget(asOf)
}

// Replace takes over all records of the store as of revision at and a time.
// Records that it lacks were deleted, unless they are newer.
func (c *Copy) Replace(all []store.Entry, at store.Revision, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at < c.at {
		return
	}
	listed := make(map[string]bool, len(all))
	for _, e := range all {
		listed[e.Key] = true
	}
	changes := slices.Clone(all)
	for key, e := range c.records {
		if !listed[key] && e.Revision <= at {
			changes = append(changes, store.Entry{Key: key, Revision: max(e.Revision+1, at), Deleted: true})
		}
	}
	c.merge(changes, asOf)
	c.advance(at, asOf)
}

// merge applies the changes that are newer than what is known.
func (c *Copy) merge(changes []store.Entry, now time.Time) {
	var applied []store.Entry
	touched := map[string]bool{}
	for _, e := range changes {
		old, known := c.records[e.Key]
		if e.Revision <= max(old.Revision, c.deleted[e.Key].revision) {
			continue
		}
		// What was applied in this batch is not passed on yet, so nothing can
		// renew it.
		if known && !e.Deleted && !touched[e.Key] && c.renews(e) {
			old.Revision = e.Revision
			c.records[e.Key] = old
			continue
		}
		touched[e.Key] = true
		if e.Deleted {
			delete(c.records, e.Key)
			c.deleted[e.Key] = tombstone{revision: e.Revision, when: now}
			if known {
				applied = append(applied, e)
			}
			continue
		}
		c.records[e.Key] = record{Entry: e, said: e.Revision}
		delete(c.deleted, e.Key)
		applied = append(applied, e)
	}
	if len(applied) > 0 {
		c.changed(applied)
	}
}

// forget drops old deletions.
func (c *Copy) forget(now time.Time) {
	for key, t := range c.deleted {
		if now.Sub(t.when) > tombstoneAge {
			delete(c.deleted, key)
			c.horizon = max(c.horizon, t.revision)
		}
	}
}

// Since returns what changed after a revision. Complete is set when the answer
// holds all records instead, as after is too old or zero.
func (c *Copy) Since(after store.Revision) (changes []store.Entry, at store.Revision, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete = after == 0 || after < c.horizon
	for _, e := range c.records {
		if complete || e.said > after {
			changes = append(changes, e.Entry)
		}
	}
	for key, t := range c.deleted {
		if !complete && t.revision > after {
			changes = append(changes, store.Entry{Key: key, Revision: t.revision, Deleted: true})
		}
	}
	return changes, c.at, complete
}
