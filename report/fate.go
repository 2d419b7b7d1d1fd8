package report

import "net/http"

// Fate is what a caller got.
type Fate int

// Fates, from the best to the worst.
const (
	// InTime: the whole answer, within the route's targets.
	InTime Fate = iota
	// LateFirst: the whole answer, but its first byte came after the target.
	LateFirst
	// LateBetween: the whole answer, with too long a pause between two events.
	LateBetween
	// Rejected: the request was at fault, such as by its key or path.
	Rejected
	// Refused: the request did not run and the caller was told so.
	Refused
	// ServerError: a server failed the request.
	ServerError
	// Unknown: the request may have run and the caller got no answer of it.
	Unknown
	// Broken: the answer broke off.
	Broken
	// Left: the caller went away before the end.
	Left
	fates
)

var fateNames = [fates]string{
	"in time", "late first", "late between", "rejected", "refused", "server error", "unknown", "broken off", "caller left",
}

// String returns the name of the fate in tables.
func (f Fate) String() string { return fateNames[f] }

// Outcomes as daemons log them.
const (
	outcomeRefused = "refused"
	outcomeUnknown = "unknown"
	outcomeBroken  = "broken"
	outcomeLeft    = "left"
)

// Fate tells what the caller of the request got.
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
		return LateBetween
	}
	return InTime
}
