package report

import "net/http"

// Result is the outcome of a request as its caller saw it.
type Result int

// Results, from the best to the worst.
const (
	// InTime means a complete response within the route's targets.
	InTime Result = iota
	// LateFirst means a complete response whose first byte missed its target.
	LateFirst
	// LateGap means a complete response whose longest gap between two events
	// missed its target.
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
	// BrokenOff means that the response ended before it was complete.
	BrokenOff
	// CallerLeft means that the caller closed its connection before the end.
	CallerLeft
	// resultCount is the number of results.
	resultCount
)

var resultNames = [resultCount]string{
	"in time", "late first", "late between", "rejected", "refused", "server error", "unknown", "broken off", "caller left",
}

// String returns the name of the result in tables and plots.
func (r Result) String() string { return resultNames[r] }

// Values of the field "outcome" in the log lines of daemons.
const (
	outcomeRefused = "refused"
	outcomeUnknown = "unknown"
	outcomeBroken  = "broken"
	outcomeLeft    = "left"
)

// Result returns what the caller of the request got.
func (r *Request) Result() Result {
	switch r.Outcome {
	case outcomeLeft:
		return CallerLeft
	case outcomeBroken:
		return BrokenOff
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
