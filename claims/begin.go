package claims

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/store"
)

// beginTries bounds the store operations that Begin repeats.
const beginTries = 4

// Bounds of the pause between two tries.
const (
	firstPause = 20 * time.Millisecond
	longPause  = time.Second
)

// attemptIDBytes is the number of random bytes in an attempt ID.
const attemptIDBytes = 16

// claim is the state of one Begin.
type claim struct {
	key   string
	id    string
	rec   record
	value []byte
	// rev is the revision of the released record to replace; zero means that
	// the key is taken for absent.
	rev store.Revision
	// read is set when the key must be read before the next write.
	read bool
	// sent is set after a write whose outcome is unknown.
	sent bool
	// exists is set when the key is known to hold a record.
	exists bool
	answer *Answer
}

// Begin implements Claimer.
//
// A lost reply is settled by reading the key back and comparing the attempt
// ID. If the key is still absent, the same create is sent again: at most one
// of them takes effect, and both carry this attempt's ID.
func (s *Service) Begin(ctx context.Context, key Key, digest [32]byte) (Attempt, error) {
	if err := key.Check(); err != nil {
		return Attempt{}, err
	}
	c, err := s.newClaim(key, digest)
	if err != nil {
		return Attempt{}, trace.Wrap(err)
	}
	verdict := s.decide(ctx, c)
	s.counts.verdicts[verdict].Inc(1)
	a := Attempt{Key: key, ID: c.id, Verdict: verdict, Answer: c.answer}
	if verdict == Run {
		s.hold(c.id, &held{key: c.key, rec: c.rec, rev: c.rev})
		a.DispatchBy = time.UnixMilli(c.rec.CreatedMs).Add(s.cfg.Retention())
	}
	if verdict == Undecided && c.sent {
		s.fence(c)
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
	return &claim{key: key.StoreKey(), id: rec.Attempt, rec: rec, value: value}, nil
}

// decide writes and reads until the verdict is certain or the tries are used.
func (s *Service) decide(ctx context.Context, c *claim) Verdict {
	pause := newPause()
	for try := 0; try < beginTries; {
		verdict, failed := s.step(ctx, c)
		if verdict != 0 {
			return verdict
		}
		try++
		if failed && (try == beginTries || !sleep(ctx, pause.NextBackOff())) {
			break
		}
	}
	if c.sent || c.exists {
		return Undecided
	}
	return Unavailable
}

// step does one operation on the store. It returns zero while the verdict is
// open, and whether the store failed to answer.
func (s *Service) step(ctx context.Context, c *claim) (v Verdict, failed bool) {
	if c.read {
		return s.look(ctx, c)
	}
	rev, err := s.put(ctx, c)
	switch resultOf(err) {
	case writeDone:
		c.rev = rev
		return Run, false
	case writeRefused:
		c.exists = true
		return s.look(ctx, c)
	case writeUnknown:
		c.sent = true
		c.read = true
	}
	return 0, true
}

// put writes the claim over what the key is taken to hold.
func (s *Service) put(ctx context.Context, c *claim) (store.Revision, error) {
	if c.rev == 0 {
		return s.store.Create(ctx, c.key, c.value)
	}
	return s.store.CompareAndSwap(ctx, c.key, c.rev, c.value)
}

// look reads the key and judges what it holds.
func (s *Service) look(ctx context.Context, c *claim) (v Verdict, failed bool) {
	e, err := s.store.Get(ctx, c.key)
	if errors.Is(err, store.ErrNotFound) {
		c.read, c.exists, c.rev = false, false, 0
		return 0, false
	}
	if err != nil {
		c.read = true
		return 0, true
	}
	c.read, c.exists = false, true
	rec, err := decodeRecord(e.Value)
	if err != nil {
		s.unreadable(c.key, err)
		return Unknown, false
	}
	return s.judge(c, rec, e.Revision), false
}

// judge returns the verdict for a stored record, or zero if the record was
// released and the claim may replace it.
func (s *Service) judge(c *claim, rec record, rev store.Revision) Verdict {
	c.rev = rev
	switch {
	case rec.Attempt == c.id:
		return Run
	case rec.Phase == phaseReleased:
		return 0
	case rec.Digest != c.rec.Digest:
		return Mismatch
	case rec.Phase == phaseFinished:
		c.answer = rec.Answer
		return Replay
	case rec.Phase == phaseAbandoned:
		return Unknown
	case !s.cfg.OwnerAlive(rec.Owner):
		return Unknown
	default:
		return InProgress
	}
}

func (s *Service) unreadable(key string, err error) {
	s.counts.unreadable.Inc(1)
	s.log.Error("claim record is unreadable", "key", key, "err", err)
}

func newPause() *backoff.ExponentialBackOff {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = firstPause
	p.MaxInterval = longPause
	p.Multiplier = 2
	return p
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
