package scheduler

import "github.com/jacinththread/jacinththread/peer"

// Outcome of a granted request, as the gateway reports it to the scheduler.
type Outcome uint8

// Outcomes of a granted request.
const (
	OutcomeOK Outcome = iota + 1
	// OutcomeCanceled means the caller went away or the work was preempted.
	OutcomeCanceled
	// OutcomeFailed means the backend server refused or broke the request.
	OutcomeFailed
	// OutcomeSilent means the backend server stopped making progress.
	OutcomeSilent
)

// InfeasibleReason tells why a reservation was refused.
type InfeasibleReason uint8

// Reasons of a refusal.
const (
	ReasonNoServer InfeasibleReason = iota + 1
	ReasonDeadline
	ReasonQueueFull
	ReasonEvicted
	ReasonStopping
)

// Reserve asks a scheduler to queue a request for any of its servers of a
// pool. Repeating a Reserve with the same ID updates it.
type Reserve struct {
	// ID is unique for the sending gateway's lifetime.
	ID       uint64
	Pool     string
	Class    string
	Customer string
	// DeadlineMs is the time left until the target for the first token, in
	// milliseconds.
	DeadlineMs uint32
	// Cost is the estimated work in tokens.
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

// Queued tells the gateway that a reservation waits.
type Queued struct {
	ID uint64
	// WaitMs is the estimated wait in milliseconds.
	WaitMs uint32
}

// Infeasible refuses a reservation or withdraws a queued one.
type Infeasible struct {
	ID     uint64
	Reason InfeasibleReason
	// RetryAfterMs is when the caller may come back, in milliseconds.
	RetryAfterMs uint32
}

// Grant offers a slot of a backend server to a reservation.
type Grant struct {
	ID uint64
	// GrantID is unique for the scheduler's lifetime.
	GrantID uint64
	Server  string
	// ValidMs is how long the offer stands from its receipt, in milliseconds.
	ValidMs uint32
}

// Accept takes a granted slot.
type Accept struct {
	GrantID uint64
	ID      uint64
	Server  string
}

// Decline returns a granted slot unused.
type Decline struct {
	GrantID uint64
	ID      uint64
	Server  string
}

// Cancel withdraws a reservation.
type Cancel struct {
	ID uint64
}

// Done returns an accepted slot with what was observed.
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

// Running describes one request in flight on a backend server.
type Running struct {
	ID       uint64
	GrantID  uint64
	Server   string
	Class    string
	Customer string
}

// Declare lists all requests the gateway has in flight on the servers that the
// scheduler asked about. It answers a DeclareRequest.
type Declare struct {
	Seq     uint64
	Running []Running
}

// DeclareRequest asks a gateway what it has in flight on the named servers. A
// scheduler sends it to every daemon when it takes over servers.
type DeclareRequest struct {
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
