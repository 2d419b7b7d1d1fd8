package entry

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/store"
)

// leaseStore is a fake Registry that holds one record under a lease.
type leaseStore struct {
	mu    sync.Mutex
	next  store.LeaseID
	lease store.LeaseID
	// expires is when the lease ends unless it is renewed.
	expires time.Time
	// unavailable makes Register and Keep fail.
	unavailable bool
}

// live reports whether the record exists.
func (s *leaseStore) live() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held()
}

// held is live for callers that hold the mutex.
func (s *leaseStore) held() bool { return s.lease != 0 && time.Now().Before(s.expires) }

func (s *leaseStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *leaseStore) Register(_ context.Context, _ string, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, store.ErrUnavailable
	}
	s.next++
	s.lease, s.expires = s.next, time.Now().Add(ttl)
	return s.lease, nil
}

func (s *leaseStore) Keep(_ context.Context, lease store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return store.ErrUnavailable
	case lease != s.lease || !s.held():
		return store.ErrNotFound
	}
	s.expires = time.Now().Add(recordTTL)
	return nil
}

func (s *leaseStore) End(context.Context, store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = 0
	return nil
}

// TestRegistrationOutlivesOutagesAndEndsWithTheDaemon checks that the daemon keeps
// one lease while the store is available, registers again after an outage in which
// the lease expired, and deletes its record when it stops.
func TestRegistrationOutlivesOutagesAndEndsWithTheDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &leaseStore{}
		r := newRegistration(s, "d", log.New(io.Discard))
		assert.NilError(t, r.Start(t.Context()))
		time.Sleep(time.Minute)
		assert.Assert(t, s.live())
		s.mu.Lock()
		leases := s.next
		s.mu.Unlock()
		assert.Equal(t, leases, store.LeaseID(1), "the lease was replaced while the store was available")
		s.setUnavailable(true)
		time.Sleep(time.Minute)
		assert.Assert(t, !s.live())
		s.setUnavailable(false)
		time.Sleep(2 * renewInterval)
		assert.Assert(t, s.live(), "the daemon did not register again after the outage")
		assert.NilError(t, r.Stop(t.Context()))
		assert.Assert(t, !s.live())
	})
}
