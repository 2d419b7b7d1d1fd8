// Package mirror maintains a local copy of records in the platform's store.
//
// The store's revisions order all changes, so changes from the store and from
// other daemons can be merged in any order, and a record is never replaced by an
// older one. A daemon whose calls to the store fail receives changes from its
// peers.
package mirror

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/store"
)

// outageAge is the time between two confirmations of a copy from which the store counts
// as unavailable in between. No record expires in a shorter outage, because leases
// outlast two heartbeats.
const outageAge = 2 * time.Second

// Confirmation states when records were current: as of AsOf and, at intervals of at
// most outageAge, since Since. A read of the store confirms one time only.
type Confirmation struct {
	AsOf  time.Time
	Since time.Time
}

// confirmedAt returns the confirmation of one time.
func confirmedAt(t time.Time) Confirmation { return Confirmation{AsOf: t, Since: t} }

// tombstoneAge is how long tombstones of deleted records are kept for peers. A
// peer that is further behind receives all records.
const tombstoneAge = 2 * time.Minute

// Status describes how current a copy is.
type Status struct {
	// Revision is the revision up to which the copy is complete, or zero before
	// the first update.
	Revision store.Revision
	// StoreUnavailable is set while the local daemon's own calls to the store fail.
	// The store may serve other daemons meanwhile.
	StoreUnavailable bool
	// StoreStateSince is when StoreUnavailable last changed.
	StoreStateSince time.Time
	// Updated is when the copy was last confirmed to be current, by the store or
	// by a peer.
	Updated time.Time
	// OutageEnd is since when the copy, or those of the peers that it was updated
	// from, were confirmed without an outage of the store.
	OutageEnd time.Time
	// PeerHeard is when a peer last told its position, whether its copy is newer or not.
	PeerHeard time.Time
}

// Copy is a local copy of the store's records. It is safe for concurrent use.
type Copy struct {
	mu         sync.Mutex
	records    map[string]record
	tombstones map[string]tombstone
	// compactedRevision is the highest revision up to which tombstones may be missing:
	// that of a dropped one, or of a list of records, which doesn't tell what was deleted
	// before. The changes after an earlier revision are incomplete.
	compactedRevision store.Revision
	// withheld holds the revisions of records that had been deleted before the store came back
	// from an older copy that still has them. They count as deleted until they change.
	withheld         map[string]store.Revision
	revision         store.Revision
	storeUnavailable bool
	storeStateSince  time.Time
	updated          time.Time
	outageEnd        time.Time
	peerHeard        time.Time
	onChange         func([]store.Entry, Status)
	isRenewal        func(store.Entry) bool
}

// record is a stored entry and the revision of its last change.
type record struct {
	// Entry has the newest known revision, which a renewal may have raised.
	store.Entry
	// changedAt is the revision of the last change that was not a renewal.
	changedAt store.Revision
}

// tombstone records when a key was deleted.
type tombstone struct {
	revision store.Revision
	when     time.Time
}

// NewCopy returns an empty copy. The callback onChange receives every batch of
// changed records in merge order, with the status of the copy that includes them,
// and must not call the copy. The function
// isRenewal reports whether a new revision of a known record only confirms its
// content, as heartbeats do. Renewals are passed neither to the callback nor to
// other daemons.
func NewCopy(onChange func([]store.Entry, Status), isRenewal func(store.Entry) bool) *Copy {
	return &Copy{
		records:          map[string]record{},
		tombstones:       map[string]tombstone{},
		withheld:         map[string]store.Revision{},
		storeUnavailable: true,
		onChange:         onChange,
		isRenewal:        isRenewal,
	}
}

// Status returns how current the copy is.
func (c *Copy) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status()
}

// status is Status for callers that hold the mutex.
func (c *Copy) status() Status {
	return Status{
		Revision: c.revision, StoreUnavailable: c.storeUnavailable, StoreStateSince: c.storeStateSince,
		Updated: c.updated, OutageEnd: c.outageEnd, PeerHeard: c.peerHeard,
	}
}

// RecordPeer records that a peer told its position.
func (c *Copy) RecordPeer(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerHeard = now
}

// SetStoreUnavailable records whether the store is unavailable and reports
// whether that changed. Before the first call, the state is unknown and counts
// as unavailable.
func (c *Copy) SetStoreUnavailable(unavailable bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeUnavailable == unavailable && !c.storeStateSince.IsZero() {
		return false
	}
	c.storeUnavailable, c.storeStateSince = unavailable, now
	return true
}

// Record returns the record of a key, if it exists, and the status of the copy that says so.
func (c *Copy) Record(key string) (store.Entry, bool, Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.records[key]
	return e.Entry, ok, c.status()
}

// Records returns the records whose keys have a prefix, sorted by key.
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

// Merge applies changes that make the copy complete up to revision at. It ignores
// them if the copy is complete up to a later revision: peers do not send renewals,
// so the revision of a renewed record may be too low here to reject an older change. It
// reports whether records changed.
func (c *Copy) Merge(changes []store.Entry, at store.Revision, confirmed Confirmation) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at < c.revision || c.restoredAt(at) {
		return false
	}
	c.advance(at, confirmed)
	return c.merge(changes, confirmed.AsOf)
}

// restoredAt reports whether the store came back from an older copy between the revision of the
// copy and a later one. Changes alone then don't make the copy complete.
func (c *Copy) restoredAt(at store.Revision) bool {
	return c.revision != 0 && at.Epoch() > c.revision.Epoch()
}

// advance records the revision up to which the copy is complete and when that was
// confirmed.
func (c *Copy) advance(at store.Revision, confirmed Confirmation) {
	outage := confirmed.Since.Sub(c.updated) > outageAge || c.restoredAt(at)
	c.revision = max(c.revision, at)
	if outage {
		c.outageEnd = confirmed.Since
	}
	if confirmed.AsOf.After(c.updated) {
		c.updated = confirmed.AsOf
	}
	c.dropOldTombstones(confirmed.AsOf)
}

// Replace applies a full list of the store's records at a revision. Known records
// that are not listed are deleted unless they are newer. Like Merge, it ignores a
// list that is older than the copy, and it reports whether records changed. In the list of a
// store that came back from an older copy, records that were known to be deleted are withheld until
// they change: their writers may be gone.
func (c *Copy) Replace(all []store.Entry, at store.Revision, confirmed Confirmation) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at < c.revision {
		return false
	}
	if c.restoredAt(at) {
		c.withholdDeleted(all, at)
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
	c.advance(at, confirmed)
	c.compactedRevision = max(c.compactedRevision, at)
	return c.merge(changes, confirmed.AsOf)
}

// withholdDeleted withholds the records that were known to be deleted and that the store, come
// back from an older copy, may still have. A peer that withholds a record doesn't list it.
func (c *Copy) withholdDeleted(all []store.Entry, at store.Revision) {
	clear(c.withheld)
	for key := range c.tombstones {
		c.withheld[key] = at
	}
	for _, e := range all {
		if _, deleted := c.tombstones[e.Key]; deleted {
			c.withheld[e.Key] = e.Revision
		}
	}
}

// merge applies the changes that are newer than the known records and reports whether there
// were any.
func (c *Copy) merge(changes []store.Entry, now time.Time) bool {
	var applied []store.Entry
	touched := map[string]bool{}
	for _, e := range changes {
		old, known := c.records[e.Key]
		if e.Revision <= max(old.Revision, c.tombstones[e.Key].revision, c.withheld[e.Key]) {
			continue
		}
		delete(c.withheld, e.Key)
		// Changes applied in this batch have not been passed to the callback
		// yet, so isRenewal cannot compare with them.
		if known && !e.Deleted && !touched[e.Key] && c.isRenewal(e) {
			old.Revision = e.Revision
			c.records[e.Key] = old
			continue
		}
		touched[e.Key] = true
		if e.Deleted {
			delete(c.records, e.Key)
			c.tombstones[e.Key] = tombstone{revision: e.Revision, when: now}
			if known {
				applied = append(applied, e)
			}
			continue
		}
		c.records[e.Key] = record{Entry: e, changedAt: e.Revision}
		delete(c.tombstones, e.Key)
		applied = append(applied, e)
	}
	if len(applied) > 0 {
		c.onChange(applied, c.status())
	}
	return len(applied) > 0
}

// dropOldTombstones removes tombstones that are older than tombstoneAge.
func (c *Copy) dropOldTombstones(now time.Time) {
	for key, t := range c.tombstones {
		if now.Sub(t.when) > tombstoneAge {
			delete(c.tombstones, key)
			delete(c.withheld, key)
			c.compactedRevision = max(c.compactedRevision, t.revision)
		}
	}
}

// ChangesSince returns the changes after a revision and the revision up to which
// they are complete. If after is zero, older than a missing tombstone or of another epoch of the
// store, it returns all records instead and sets complete.
func (c *Copy) ChangesSince(after store.Revision) (changes []store.Entry, at store.Revision, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete = after == 0 || after < c.compactedRevision || after.Epoch() != c.revision.Epoch()
	for _, e := range c.records {
		if complete || e.changedAt > after {
			changes = append(changes, e.Entry)
		}
	}
	for key, t := range c.tombstones {
		if !complete && t.revision > after {
			changes = append(changes, store.Entry{Key: key, Revision: t.revision, Deleted: true})
		}
	}
	return changes, c.revision, complete
}
