// Package claims makes calls that may not be repeated run at most once.
package claims

import (
	"context"
	"time"
)

// Key identifies one call that may not be repeated.
type Key struct {
	Customer string
	Service  string
	// Token is the caller's Idempotency-Key.
	Token string
}

// Verdict is what Begin decided.
type Verdict uint8

// Verdicts of Begin.
const (
	// Run means the attempt owns the call and may dispatch it.
	Run Verdict = iota + 1
	// Replay means the call ran and its recorded answer is returned.
	Replay
	// InProgress means another attempt runs now.
	InProgress
	// Unknown means an attempt ended without a recorded outcome. The call is
	// never run again.
	Unknown
	// Mismatch means the key was used before with another request body.
	Mismatch
	// Unavailable means the store could not be reached and no claim of this
	// attempt exists or will be used: the call was surely not run by it.
	Unavailable
	// Undecided means the store's answer was lost; nothing was dispatched by
	// this attempt, but an earlier attempt may have run.
	Undecided
)

// Answer is the recorded outcome of a call.
type Answer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	// Truncated is set when the body exceeded the recording bound.
	Truncated bool `msgpack:"x,omitempty"`
	// Digest is the SHA-256 hash of the complete body. Finish computes it from
	// Body when it is empty.
	Digest []byte `msgpack:"h,omitempty"`
}

// Attempt is one try to run a call.
type Attempt struct {
	Key     Key
	ID      string
	Verdict Verdict
	// Answer is set for Replay.
	Answer *Answer
	// DispatchBy is set for Run: the wall-clock time after which the attempt
	// must not be dispatched any more, because its claim may expire.
	DispatchBy time.Time
}

// Claimer grants attempts. Implementations are safe for concurrent use.
type Claimer interface {
	// Begin claims the call for a new attempt. The digest is the hash of the
	// request method, path and body. Begin never returns Run unless the claim
	// is stored. The error is set only for an incomplete key.
	Begin(ctx context.Context, key Key, digest [32]byte) (Attempt, error)
	// Finish records the outcome of a dispatched attempt. After an error it
	// goes on trying in the background.
	Finish(ctx context.Context, a Attempt, answer Answer) error
	// Abandon records that a dispatched attempt ended without a known outcome.
	// After an error it goes on trying in the background.
	Abandon(ctx context.Context, a Attempt) error
	// Release withdraws an attempt that was surely not dispatched. It retries
	// in the background until the store answers.
	Release(a Attempt)
}
