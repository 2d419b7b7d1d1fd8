package claims

// DispatchResult is what the gateway knows after it tried to send an attempt
// to a backend server.
type DispatchResult uint8

// Results of a dispatch.
const (
	// NotSent means that no byte of the request left this daemon.
	NotSent DispatchResult = iota + 1
	// Answered means that the complete answer of the backend server arrived.
	Answered
	// SentUnanswered means that bytes were sent and no complete answer came.
	SentUnanswered
)

// Step is what the gateway does next with an attempt.
type Step uint8

// Steps after a dispatch.
const (
	// StepRelease withdraws the attempt or sends it for the first time to
	// another server: it was surely not run.
	StepRelease Step = iota + 1
	// StepFinish records the answer.
	StepFinish
	// StepResend sends the same attempt again. The server refuses to run it
	// twice.
	StepResend
	// StepAbandon records that the outcome is unknown.
	StepAbandon
)

// NextStep decides what follows a dispatch of a call that may not be repeated.
// Only servers that check the order themselves may get an attempt again whose
// outcome is unknown, and only while resends are left.
func NextStep(r DispatchResult, checksOrder bool, resendsLeft int) Step {
	switch {
	case r == NotSent:
		return StepRelease
	case r == Answered:
		return StepFinish
	case checksOrder && resendsLeft > 0:
		return StepResend
	default:
		return StepAbandon
	}
}
