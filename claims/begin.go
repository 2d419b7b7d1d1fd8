package claims

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/internal/pause"
	"github.com/jacinththread/jacinththread/store"
)

// maxBeginTries limits the number of steps in which Begin writes or reads the
// claim.
const maxBeginTries = 4

// Limits of the exponential backoff between store operations.
const (
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = time.Second
)

// attemptIDBytes is the number of random bytes in an attempt ID.
const attemptIDBytes = 16

// claim is the state of one Begin call.
type claim struct {
	key       string
	attemptID string
	rec       record
	value     []byte
	// rev is the revision of the released record to replace. Zero means that
	// the key is assumed not to exist.
	rev store.Revision
	// mustRead is set when the key must be read before the next write.
	mustRead bool
	// outcomeUnknown is set once the outcome of a write is unknown. That write may
	// still take effect.
	outcomeUnknown bool
	// recordExists is set when the store is known to have a record for the key.
	recordExists bool
	response     *Response
}

// Begin implements Claimer.
//
// If the response to the create is lost, Begin reads the key back and compares
// the attempt ID. If the key still does not exist, Begin sends the same create
// again: at most one of them takes effect, and all have this attempt's ID.
func (s *Service) Begin(ctx context.Context, key Key, digest [32]byte) (Attempt, error) {
	if err := key.Check(); err != nil {
		return Attempt{}, err
	}
	c, err := s.newClaim(key, digest)
	if err != nil {
		return Attempt{}, trace.Wrap(err)
	}
	verdict := s.resolve(ctx, c)
	s.counts.verdicts[verdict].Inc(1)
	a := Attempt{Key: key, ID: c.attemptID, Verdict: verdict, Response: c.response}
	if verdict == Run {
		s.trackClaim(c.attemptID, &storedClaim{key: c.key, rec: c.rec, rev: c.rev})
		a.DispatchBy = time.UnixMilli(c.rec.CreatedMs).Add(s.cfg.Retention())
	}
	if verdict == Undecided && c.outcomeUnknown {
		s.fenceAttempt(c)
	}
	return a, nil
}

func (s *Service) newClaim(key Key, digest [32]byte) (*claim, error) {
	var raw [attemptIDBytes]byte
	rand.Read(raw[:])
	now := time.Now().UnixMilli()
	rec := record{
		Phase:     phaseClaimed,
		Attempt:   hex.EncodeToString(raw[:]),
		Owner:     s.cfg.Owner,
		Digest:    digest,
		CreatedMs: now,
		ChangedMs: now,
	}
	value, err := rec.encode()
	if err != nil {
		return nil, err
	}
	return &claim{key: key.StoreKey(), attemptID: rec.Attempt, rec: rec, value: value}, nil
}

// resolve writes and reads the claim until the verdict is known or
// maxBeginTries is reached.
func (s *Service) resolve(ctx context.Context, c *claim) Verdict {
	delay := newRetryBackoff()
	for try := 0; try < maxBeginTries; {
		verdict, failed := s.step(ctx, c)
		if verdict != 0 {
			return verdict
		}
		try++
		if failed && (try == maxBeginTries || !pause.For(ctx, delay.NextBackOff())) {
			break
		}
	}
	if c.outcomeUnknown || c.recordExists {
		return Undecided
	}
	return Unavailable
}

// step makes one write or read of the claim; a write that the store refuses is
// followed by a read. It returns a zero verdict if the verdict is not known
// yet, and whether the last store operation failed without a usable result.
func (s *Service) step(ctx context.Context, c *claim) (v Verdict, failed bool) {
	if c.mustRead {
		return s.readRecord(ctx, c)
	}
	rev, err := s.writeClaim(ctx, c)
	switch classifyWriteError(err) {
	case writeDone:
		c.rev = rev
		return Run, false
	case writeRefused:
		c.recordExists = true
		return s.readRecord(ctx, c)
	case writeUnknown:
		c.outcomeUnknown = true
		c.mustRead = true
	}
	return 0, true
}

// writeClaim creates the claim, or replaces the released record at c.rev.
func (s *Service) writeClaim(ctx context.Context, c *claim) (store.Revision, error) {
	if c.rev == 0 {
		return s.store.Create(ctx, c.key, c.value)
	}
	return s.store.CompareAndSwap(ctx, c.key, c.rev, c.value)
}

// readRecord reads the key and returns the verdict for the stored record. The
// verdict is zero if there is no record or if the claim may replace it.
func (s *Service) readRecord(ctx context.Context, c *claim) (v Verdict, failed bool) {
	e, err := s.store.Get(ctx, c.key)
	if errors.Is(err, store.ErrNotFound) {
		c.mustRead, c.recordExists, c.rev = false, false, 0
		return 0, false
	}
	if err != nil {
		c.mustRead = true
		return 0, true
	}
	c.mustRead, c.recordExists = false, true
	rec, err := decodeRecord(e.Value)
	if err != nil {
		s.reportUnreadable(c.key, err)
		return Unknown, false
	}
	return s.verdictFor(c, rec, e.Revision), false
}

// verdictFor returns the verdict for a stored record, or zero if the record is
// released and the claim may replace it.
func (s *Service) verdictFor(c *claim, rec record, rev store.Revision) Verdict {
	c.rev = rev
	switch {
	case rec.Attempt == c.attemptID:
		return Run
	case rec.Phase == phaseReleased:
		return 0
	case rec.Digest != c.rec.Digest:
		return Mismatch
	case rec.Phase == phaseFinished:
		c.response = rec.Response
		return Replay
	case rec.Phase == phaseAbandoned:
		return Unknown
	case !s.cfg.OwnerAlive(rec.Owner):
		return Unknown
	default:
		return InProgress
	}
}

func (s *Service) reportUnreadable(key string, err error) {
	s.counts.unreadable.Inc(1)
	s.log.Error("decoding a claim record failed", "key", key, "err", err)
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = initialRetryDelay
	p.MaxInterval = maxRetryDelay
	p.Multiplier = 2
	return p
}
