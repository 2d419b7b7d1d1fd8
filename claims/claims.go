// Package claims runs non-repeatable calls at most once. Before a call is
// dispatched, an attempt claims its idempotency key in the platform's store.
package claims

import (
	"context"
	"time"
)

// Key identifies one non-repeatable call.
type Key struct {
	Customer string
	Service  string
	// Token is the caller's Idempotency-Key.
	Token string
}

// Verdict is the result of Begin: whether the attempt may be dispatched, and if
// not, why.
type Verdict uint8

// Verdicts of Begin.
const (
	// Run means the attempt owns the call and may dispatch it.
	Run Verdict = iota + 1
	// Replay means the call ran and its recorded response is returned.
	Replay
	// InProgress means another attempt holds the claim and has not finished.
	InProgress
	// Unknown means an attempt ended without a recorded outcome. The call is
	// never run again.
	Unknown
	// Mismatch means the key was used before for a request with another digest.
	Mismatch
	// Unavailable means the store is unavailable and this attempt has written
	// no claim, so it did not run the call.
	Unavailable
	// Undecided means the state of the claim could not be determined. This
	// attempt dispatched nothing, but an earlier attempt may have run.
	Undecided
)

// Response is the recorded response of a call.
type Response struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	// Truncated is set when Body was cut to MaxRecordedBodyBytes.
	Truncated bool `msgpack:"x,omitempty"`
	// Digest is the SHA-256 hash of the complete body. If it is empty, Finish
	// computes it from Body.
	Digest []byte `msgpack:"h,omitempty"`
}

// Attempt is one attempt to run a call.
type Attempt struct {
	Key     Key
	ID      string
	Verdict Verdict
	// Response is set for Replay.
	Response *Response
	// DispatchBy is set for Run. After this wall-clock time the attempt must
	// not be dispatched, because its claim may have expired.
	DispatchBy time.Time
}

// Claimer coordinates the attempts of non-repeatable calls. Implementations are
// safe for concurrent use.
type Claimer interface {
	// Begin claims the call for a new attempt. The digest is the hash of the
	// request method, path and body. Begin never returns Run unless the claim
	// is stored. The error is set only for an incomplete key.
	Begin(ctx context.Context, key Key, digest [32]byte) (Attempt, error)
	// Finish records the response of a dispatched attempt. If the store fails,
	// Finish returns an error and the write is retried in the background.
	Finish(ctx context.Context, a Attempt, response Response) error
	// Abandon records that a dispatched attempt ended without a known outcome.
	// If the store fails, Abandon returns an error and the write is retried in
	// the background.
	Abandon(ctx context.Context, a Attempt) error
	// Release withdraws an attempt that was not dispatched. The write is made
	// in the background and retried until it is stored.
	Release(a Attempt)
}
