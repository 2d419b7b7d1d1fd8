// Package leasetest provides an in-memory store with leases and conditional writes for tests, with faults of its calls.
package leasetest

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/store"
)

// Store is an in-memory store with leases and conditional writes. Leases follow time.Now.
type Store struct {
	mu      sync.Mutex
	epoch   uint64
	number  uint64
	entries map[string]leased
	leases  map[store.LeaseID]lease
	// calls counts the calls that arrived, by method.
	calls map[string]int
}

// leased is an entry and the lease that it is under.
type leased struct {
	store.Entry
	lease store.LeaseID
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{number: 1, entries: map[string]leased{}, leases: map[store.LeaseID]lease{}, calls: map[string]int{}}
}

// Calls returns the number of calls of a method that arrived.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// Read returns the entry of a key and the revision of the store, as a copy of all records would have them.
func (s *Store) Read(key string) (entry store.Entry, exists bool, at store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	return e.Entry, ok, store.NewRevision(s.epoch, s.number)
}

// Snapshot returns a function that restores the present content. A restored store is in another epoch.
func (s *Store) Snapshot() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number, entries, leases := s.number, maps.Clone(s.entries), maps.Clone(s.leases)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.epoch++
		s.number, s.entries, s.leases = number, maps.Clone(entries), maps.Clone(leases)
	}
}

// expire ends the leases whose time is over. The caller must hold s.mu.
func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id store.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.number++
			delete(s.entries, key)
		}
	}
}

// begin counts a call and expires leases. It returns the function that ends the call.
func (s *Store) begin(method string) func() {
	s.mu.Lock()
	s.calls[method]++
	s.expire()
	return s.mu.Unlock
}

func (s *Store) grant(ttl time.Duration) store.LeaseID {
	defer s.begin("grant")()
	id := store.LeaseID(s.calls["grant"])
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	return id
}

func (s *Store) keep(id store.LeaseID) error {
	defer s.begin("keep")()
	l, ok := s.leases[id]
	if !ok {
		return store.ErrNotFound
	}
	s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	return nil
}

func (s *Store) end(id store.LeaseID) error {
	defer s.begin("end")()
	if _, ok := s.leases[id]; !ok {
		return store.ErrNotFound
	}
	s.endLease(id)
	return nil
}

func (s *Store) commit(t store.Txn) (store.Revision, error) {
	defer s.begin("commit")()
	for _, c := range t.If {
		if s.entries[c.Key].Revision != c.Revision {
			return 0, store.ErrConflict
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return 0, store.ErrNotFound
		}
	}
	s.number++
	revision := store.NewRevision(s.epoch, s.number)
	for _, p := range t.Puts {
		s.entries[p.Key] = leased{store.Entry{Key: p.Key, Value: p.Value, Revision: revision}, p.Lease}
	}
	for _, key := range t.Deletes {
		delete(s.entries, key)
	}
	return revision, nil
}

func (s *Store) get(key string) (store.Entry, error) {
	defer s.begin("get")()
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e.Entry, nil
}

// Fault is what happens to a call.
type Fault uint8

// Faults.
const (
	// None: the call takes effect and its response arrives.
	None Fault = iota
	// Refused: the call has no effect, and the caller knows it.
	Refused
	// Lost: the call doesn't arrive, which the caller doesn't know.
	Lost
	// ResponseLost: the call takes effect, but its response doesn't arrive.
	ResponseLost
	// Delayed: the call takes effect after the caller has given up.
	Delayed
)

// Client is a client of a Store. It implements store.Transactor.
type Client struct {
	Store *Store
	// Before is called before each call and returns what happens to it. It may block.
	Before func(method string) Fault
	// Timeout is how long a call without a response takes.
	Timeout time.Duration
}

// call makes a call with the fault that Before returns.
func call[T any](ctx context.Context, c *Client, method string, f func() (T, error)) (T, error) {
	var none T
	switch c.Before(method) {
	case None:
		return f()
	case Refused:
		return none, store.ErrUnavailable
	case ResponseLost:
		f()
	case Delayed:
		time.AfterFunc(2*c.Timeout, func() { f() })
	case Lost:
	}
	select {
	case <-time.After(c.Timeout):
	case <-ctx.Done():
	}
	return none, store.ErrOutcomeUnknown
}

// nothing adapts a call that returns an error only.
func nothing(f func() error) func() (struct{}, error) {
	return func() (struct{}, error) { return struct{}{}, f() }
}

// Grant implements store.Transactor.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return call(ctx, c, "grant", func() (store.LeaseID, error) { return c.Store.grant(ttl), nil })
}

// Keep implements store.Transactor.
func (c *Client) Keep(ctx context.Context, id store.LeaseID) error {
	_, err := call(ctx, c, "keep", nothing(func() error { return c.Store.keep(id) }))
	return err
}

// End implements store.Transactor.
func (c *Client) End(ctx context.Context, id store.LeaseID) error {
	_, err := call(ctx, c, "end", nothing(func() error { return c.Store.end(id) }))
	return err
}

// Commit implements store.Transactor.
func (c *Client) Commit(ctx context.Context, t store.Txn) (store.Revision, error) {
	return call(ctx, c, "commit", func() (store.Revision, error) { return c.Store.commit(t) })
}

// Get implements store.Transactor.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	return call(ctx, c, "get", func() (store.Entry, error) { return c.Store.get(key) })
}
