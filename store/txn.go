package store

import (
	"context"
	"time"
)

// Condition requires that a key has a revision; zero requires that the key doesn't exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a record. Unless Lease is zero, the store deletes the record when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a set of writes that the store executes if all conditions hold, or not at all.
type Txn struct {
	If      []Condition
	Puts    []Put
	Deletes []string
}

// Transactor writes records under leases and conditions. Its methods return the errors of Store.
// Implementations are safe for concurrent use.
type Transactor interface {
	// Grant returns a new lease that ends after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Keep renews a lease. It returns ErrNotFound if the lease has ended.
	Keep(ctx context.Context, lease LeaseID) error
	// End ends a lease, which deletes its records.
	End(ctx context.Context, lease LeaseID) error
	// Commit executes a transaction and returns its revision. It returns ErrConflict if a condition doesn't
	// hold, and ErrNotFound if a lease has ended.
	Commit(ctx context.Context, t Txn) (Revision, error)
	// Get returns the entry of a key, or ErrNotFound. The read is linearizable.
	Get(ctx context.Context, key string) (Entry, error)
}
