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

// leaseStore keeps one record under a lease.
type leaseStore struct {
	mu    sync.Mutex
	next  store.Lease
	lease store.Lease
	ends  time.Time
	away  bool
}

func (s *leaseStore) live() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held()
}

func (s *leaseStore) held() bool { return s.lease != 0 && time.Now().Before(s.ends) }

func (s *leaseStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *leaseStore) Register(_ context.Context, _ string, ttl time.Duration) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, store.ErrUnavailable
	}
	s.next++
	s.lease, s.ends = s.next, time.Now().Add(ttl)
	return s.lease, nil
}

func (s *leaseStore) Keep(_ context.Context, lease store.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.away:
		return store.ErrUnavailable
	case lease != s.lease || !s.held():
		return store.ErrNotFound
	}
	s.ends = time.Now().Add(recordTTL)
	return nil
}

func (s *leaseStore) End(context.Context, store.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease = 0
	return nil
}

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
		assert.Equal(t, leases, store.Lease(1), "one lease for all the time")
		s.setAway(true)
		time.Sleep(time.Minute)
		assert.Assert(t, !s.live())
		s.setAway(false)
		time.Sleep(2 * renewInterval)
		assert.Assert(t, s.live(), "registered again")
		assert.NilError(t, r.Stop(t.Context()))
		assert.Assert(t, !s.live())
	})
}
