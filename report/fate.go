package report

import "net/http"

// Fate is the result of a request as its caller saw it.
type Fate int

// Fates, from the best to the worst.
const (
	// InTime means a complete response within the route's targets.
	InTime Fate = iota
	// LateFirst means a complete response whose first byte missed its target.
	LateFirst
	// LateGap means a complete response with a gap between two events above the
	// limit.
	LateGap
	// Rejected means that the request was invalid, for example its key or path.
	Rejected
	// Refused means that the request did not run, and that the response said so.
	Refused
	// ServerError means that a server responded with a 5xx status.
	ServerError
	// Unknown means that the request may have run, but no response of a server
	// reached the caller.
	Unknown
	// Broken means that the response broke off before its end.
	Broken
	// Left means that the caller closed its connection before the end.
	Left
	// fateCount is the number of fates.
	fateCount
)

var fateNames = [fateCount]string{
	"in time", "late first", "late between", "rejected", "refused", "server error", "unknown", "broken off", "caller left",
}

// String returns the name of the fate in tables and plots.
func (f Fate) String() string { return fateNames[f] }

// Values of the field "outcome" in the log lines of daemons.
const (
	outcomeRefused = "refused"
	outcomeUnknown = "unknown"
	outcomeBroken  = "broken"
	outcomeLeft    = "left"
)

// Fate returns what the caller of the request got.
func (r *Request) Fate() Fate {
	switch r.Outcome {
	case outcomeLeft:
		return Left
	case outcomeBroken:
		return Broken
	case outcomeUnknown:
		return Unknown
	}
	switch {
	case r.Status >= http.StatusBadRequest && r.Status < http.StatusInternalServerError && r.Status != http.StatusTooManyRequests:
		return Rejected
	case r.Outcome == outcomeRefused:
		return Refused
	case r.Status >= http.StatusInternalServerError:
		return ServerError
	case r.TargetMs > 0 && r.FirstMs > r.TargetMs:
		return LateFirst
	case r.GapTargetMs > 0 && r.GapMs > r.GapTargetMs:
		return LateGap
	}
	return InTime
}
