package scheduler

import "github.com/jacinththread/jacinththread/peer"

// Outcome is the result of a granted request, as the gateway reports it to the
// scheduler.
type Outcome uint8

// Outcomes of a granted request.
const (
	OutcomeOK Outcome = iota + 1
	// OutcomeCanceled means that the request was canceled, for example because the
	// caller disconnected, or that the slot was released unused.
	OutcomeCanceled
	// OutcomeFailed means that the backend server refused the request or failed
	// while it ran.
	OutcomeFailed
	// OutcomeNoProgress means that the backend server stopped making progress.
	OutcomeNoProgress
)

// InfeasibleReason is the reason why a reservation was refused.
type InfeasibleReason uint8

// Reasons for a refusal.
const (
	ReasonNoServer InfeasibleReason = iota + 1
	ReasonDeadline
	ReasonQueueFull
	ReasonEvicted
	ReasonStopping
)

// Reserve asks a scheduler to queue a request for any of its servers of a pool. A
// repeated Reserve with the same ID updates the reservation.
type Reserve struct {
	// ID is unique for the sending gateway's lifetime.
	ID       uint64
	Pool     string
	Class    string
	Customer string
	// DeadlineMs is the time left until the deadline for the first token, in
	// milliseconds.
	DeadlineMs uint32
	// Cost is the estimated work of the request, in tokens.
	Cost uint32
	// Prefix is the hash of the prompt's first block; zero means none.
	Prefix uint64
	// Avoid names servers that already failed this request.
	Avoid []string
	// WaitedMs is how long the request has waited already, in milliseconds.
	WaitedMs uint32
	// Trace is the W3C traceparent of the request; empty if it is not sampled.
	Trace string
}

// Queued notifies a gateway that its reservation has been queued.
type Queued struct {
	ID uint64
	// WaitMs is the estimated wait in milliseconds.
	WaitMs uint32
}

// Infeasible refuses a reservation, whether new or already queued.
type Infeasible struct {
	ID     uint64
	Reason InfeasibleReason
	// RetryAfterMs is the delay after which the caller may try again, in
	// milliseconds.
	RetryAfterMs uint32
}

// Grant offers a slot of a backend server to a reservation.
type Grant struct {
	ID uint64
	// GrantID is unique for the scheduler's lifetime.
	GrantID uint64
	Server  string
	// ValidMs is how long the grant is valid after its receipt, in milliseconds.
	ValidMs uint32
}

// Accept confirms that the gateway uses a granted slot.
type Accept struct {
	GrantID uint64
	ID      uint64
	Server  string
}

// Decline returns a granted slot that the gateway does not use.
type Decline struct {
	GrantID uint64
	ID      uint64
	Server  string
}

// Cancel withdraws a reservation.
type Cancel struct {
	ID uint64
}

// Done releases an accepted slot and reports the outcome and the measurements of
// its request.
type Done struct {
	GrantID uint64
	ID      uint64
	Server  string
	Outcome Outcome
	Tokens  uint32
	// FirstTokenMs is the time from dispatch to the first token, in
	// milliseconds; zero if there was none.
	FirstTokenMs uint32
	// TokenGapUs is the mean time between tokens, in microseconds.
	TokenGapUs uint32
	Class      string
	Customer   string
}

// Running describes a request in flight on a backend server.
type Running struct {
	ID       uint64
	GrantID  uint64
	Server   string
	Class    string
	Customer string
}

// Declare is the response to a DeclareRequest. It lists all requests that the gateway has in
// flight on the servers named there.
type Declare struct {
	Seq     uint64
	Running []Running
}

// DeclareRequest asks a gateway for its requests in flight on the named servers.
// A scheduler sends it to every daemon when it takes over servers, and to single
// gateways in audits.
type DeclareRequest struct {
	// Seq identifies the round; the Declare message repeats it.
	Seq     uint64
	Servers []string
}

// Kind implements peer.Message.
func (*Reserve) Kind() peer.Kind { return peer.KindReserve }

// Kind implements peer.Message.
func (*Queued) Kind() peer.Kind { return peer.KindQueued }

// Kind implements peer.Message.
func (*Infeasible) Kind() peer.Kind { return peer.KindInfeasible }

// Kind implements peer.Message.
func (*Grant) Kind() peer.Kind { return peer.KindGrant }

// Kind implements peer.Message.
func (*Accept) Kind() peer.Kind { return peer.KindAccept }

// Kind implements peer.Message.
func (*Decline) Kind() peer.Kind { return peer.KindDecline }

// Kind implements peer.Message.
func (*Cancel) Kind() peer.Kind { return peer.KindCancel }

// Kind implements peer.Message.
func (*Done) Kind() peer.Kind { return peer.KindDone }

// Kind implements peer.Message.
func (*Declare) Kind() peer.Kind { return peer.KindDeclare }

// Kind implements peer.Message.
func (*DeclareRequest) Kind() peer.Kind { return peer.KindDeclareRequest }
