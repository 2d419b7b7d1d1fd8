// Package store defines the interfaces to the platform that the system runs on:
// a small key-value store with compare-and-swap and a list of hosts.
//
// Each implementation is an adapter to one external system. Every call counts
// against the platform's rate limits, including a watch that is waiting.
package store

import (
	"context"
	"errors"
)

// Entry is the value of a key at a revision.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
	// Deleted is set in watch results for a key that no longer exists.
	Deleted bool `json:"deleted,omitempty"`
}

// Errors of a Store. ErrUnavailable guarantees that a write took no effect.
// ErrOutcomeUnknown guarantees nothing: the write may take effect now, later or
// never, and the caller has to read the key back to find out.
var (
	ErrNotFound       = errors.New("key does not exist")
	ErrExists         = errors.New("key already exists")
	ErrConflict       = errors.New("key changed since the given revision")
	ErrUnavailable    = errors.New("platform store is unavailable")
	ErrOutcomeUnknown = errors.New("outcome of the store write is unknown")
	ErrTooLarge       = errors.New("value exceeds the store's size limit")
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Store is the platform's key-value service. Implementations are safe for
// concurrent use. Reads are linearizable.
type Store interface {
	// Get returns the entry of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key has the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Create stores value under a key that does not exist, or returns
	// ErrExists.
	Create(ctx context.Context, key string, value []byte) (Revision, error)
	// CompareAndSwap replaces the value of key if its revision is rev, or
	// returns ErrConflict (ErrNotFound if the key does not exist).
	CompareAndSwap(ctx context.Context, key string, rev Revision, value []byte) (Revision, error)
	// Delete removes key if its revision is rev, or returns ErrConflict
	// (ErrNotFound if the key does not exist).
	Delete(ctx context.Context, key string, rev Revision) error
	// Watch waits until the key's revision is greater than after and returns
	// its entry. It returns ctx.Err() when ctx ends first.
	Watch(ctx context.Context, key string, after Revision) (Entry, error)
}

// HostState indicates whether the platform plans to remove a host.
type HostState string

// States of a host in the list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	Name string `json:"name"`
	// Addr is the IP address and port of the service on this host.
	Addr    string    `json:"addr"`
	Service string    `json:"service"`
	Region  string    `json:"region"`
	Domain  string    `json:"domain"`
	State   HostState `json:"state"`
}

// HostList is the platform's list of live and leaving hosts. It may be out of
// date by several seconds.
type HostList interface {
	// Hosts returns all listed hosts, including the entry hosts.
	Hosts(ctx context.Context) ([]Host, error)
}

// LeaseID is the ID of a lease. The store deletes the records attached to a lease
// when the lease ends.
type LeaseID int64
