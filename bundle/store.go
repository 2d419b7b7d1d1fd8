package bundle

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/store"
)

// Retries of a write whose outcome is unknown.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// maxAttempts is the maximum number of attempts per operation.
	maxAttempts = 6
)

// Store keeps proposals and versions in the platform's store. Its operations
// are idempotent per change id. It is safe for concurrent use.
type Store struct {
	kv store.Store

	mu      sync.Mutex
	inForce *Active
}

// NewStore returns a Store that keeps its data in kv.
func NewStore(kv store.Store) *Store {
	return &Store{kv: kv}
}

// Current returns the pointer to the version in force, or ErrNoVersion.
func (s *Store) Current(ctx context.Context) (Pointer, error) {
	p, _, err := s.current(ctx)
	if err == nil && p.Version == 0 {
		return p, ErrNoVersion
	}
	return p, err
}

// current returns the pointer to the version in force and the revision of
// bundle/current, both zero while no version exists.
func (s *Store) current(ctx context.Context) (Pointer, store.Revision, error) {
	var p Pointer
	e, err := s.kv.Get(ctx, currentKey)
	if errors.Is(err, store.ErrNotFound) {
		return p, 0, nil
	}
	if err != nil {
		return p, 0, trace.Wrap(err)
	}
	return p, e.Revision, decodeValue(e.Value, &p)
}

// Version returns the record of a version, or ErrVersionNotFound. The version
// may never have been in force.
func (s *Store) Version(ctx context.Context, n uint64) (*Record, error) {
	e, err := s.kv.Get(ctx, versionKey(n))
	if errors.Is(err, store.ErrNotFound) {
		return nil, trace.Wrap(ErrVersionNotFound, "version %d", n)
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Record{}
	if err := decodeValue(e.Value, r); err != nil {
		return nil, err
	}
	if r.Version != n {
		return nil, fmt.Errorf("record of version %d names version %d", n, r.Version)
	}
	return r, nil
}

// InForceVersion returns the record of a version that was put in force, or
// ErrVersionNotFound.
func (s *Store) InForceVersion(ctx context.Context, n uint64) (*Record, error) {
	var found *Record
	err := s.walk(ctx, func(r *Record) bool {
		if r.Version == n {
			found = r
		}
		return r.Version > n
	})
	if err == nil && found == nil {
		err = trace.Wrap(ErrVersionNotFound, "version %d", n)
	}
	return found, err
}

// History returns the last limit versions that were put in force, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]*Record, error) {
	records := []*Record{}
	if limit <= 0 {
		return records, nil
	}
	err := s.walk(ctx, func(r *Record) bool {
		records = append(records, r)
		return len(records) < limit
	})
	return records, err
}

// walk visits the versions that were put in force, newest first, until visit
// returns false. It follows Record.Base, the version that a record replaced.
func (s *Store) walk(ctx context.Context, visit func(*Record) bool) error {
	p, _, err := s.current(ctx)
	if err != nil {
		return err
	}
	for n := p.Version; n > 0; {
		r, err := s.Version(ctx, n)
		if errors.Is(err, ErrVersionNotFound) && n != p.Version {
			return nil // Older versions were pruned.
		}
		if err != nil {
			return err
		}
		if !visit(r) {
			return nil
		}
		n = r.Base
	}
	return nil
}

// InForce reads the version in force from the store. It returns ErrNoVersion if
// there is none. The content is parsed again only if the version has changed.
func (s *Store) InForce(ctx context.Context) (*Active, error) {
	p, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	cached := s.inForce
	s.mu.Unlock()
	if cached != nil && cached.Version == p.Version {
		return cached, nil
	}
	r, err := s.Version(ctx, p.Version)
	if err != nil {
		return nil, err
	}
	a, err := r.Activate()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inForce = a
	return a, nil
}

// create stores value under a key that must not exist. It retries while the
// outcome is unknown. If an earlier attempt took effect, it returns ErrExists.
func (s *Store) create(ctx context.Context, key string, value []byte) error {
	r := newRetry()
	for {
		_, err := s.kv.Create(ctx, key, value)
		if repeat := r.shouldRetry(ctx, err); !repeat {
			return r.result(err)
		}
	}
}

// retry tracks the attempts of a write that is retried while its outcome is
// unknown.
type retry struct {
	wait     *backoff.ExponentialBackOff
	attempts int
	unknown  bool
}

func newRetry() *retry {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstBackoff
	wait.MaxInterval = maxBackoff
	wait.RandomizationFactor = 0 // Few operators write, and tests need reproducible times.
	return &retry{wait: wait}
}

// shouldRetry waits for the backoff and reports whether to retry the write.
// Once an attempt has had an unknown outcome, an unavailable store is retried too.
func (r *retry) shouldRetry(ctx context.Context, err error) bool {
	r.attempts++
	if errors.Is(err, store.ErrOutcomeUnknown) {
		r.unknown = true
	} else if !r.unknown || !errors.Is(err, store.ErrUnavailable) {
		return false
	}
	return r.attempts < maxAttempts && r.pause(ctx)
}

// pause waits for the next backoff. It returns false if ctx ends first.
func (r *retry) pause(ctx context.Context) bool {
	t := time.NewTimer(r.wait.NextBackOff())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// result returns the error of the whole operation. If the store is unavailable
// after an attempt of unknown outcome, the result is ErrOutcomeUnknown, because
// that attempt may still take effect.
func (r *retry) result(err error) error {
	if r.unknown && errors.Is(err, store.ErrUnavailable) {
		return trace.Wrap(fmt.Errorf("%w: %w", store.ErrOutcomeUnknown, err))
	}
	return trace.Wrap(err)
}
