package proof

import (
	"fmt"
	"strings"
	"time"
)

// ID identifies an invariant.
type ID string

// Invariants that the proofs check.
const (
	TierOrder       ID = "tier-order"
	NoStarvation    ID = "no-starvation"
	OwnAnswer       ID = "own-answer"
	NotRunTruth     ID = "not-run-truth"
	AtMostOnce      ID = "at-most-once"
	LeavingBackend  ID = "leaving-backend"
	GracefulStop    ID = "graceful-stop"
	BundleInForceID ID = "bundle-in-force"
	BundleNeverBack ID = "bundle-never-back"
)

// Violation is a broken invariant and the events that show it.
type Violation struct {
	ID     ID
	Text   string
	Events []Event
}

// String returns the invariant and the text, followed by one event per line.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", v.ID, v.Text)
	for _, e := range v.Events {
		fmt.Fprintf(&b, "\n\t%+v", e)
	}
	return b.String()
}

// byCall groups the events of the given kinds by call and keeps their order.
func byCall(events []Event, kinds ...Kind) map[string][]Event {
	groups := map[string][]Event{}
	for _, e := range events {
		if e.Call == "" {
			continue
		}
		for _, k := range kinds {
			if e.Kind == k {
				groups[e.Call] = append(groups[e.Call], e)
			}
		}
	}
	return groups
}

// CheckOwnAnswer reports successful responses that are incomplete or belong to
// another call, responses to calls that were not submitted, and calls that never
// ended.
func CheckOwnAnswer(events []Event) []Violation {
	var found []Violation
	for call, group := range byCall(events, Submitted, Answered, Ended) {
		want := group[0]
		if want.Kind != Submitted {
			found = append(found, Violation{OwnAnswer, call + " received a response before it was submitted", group})
			continue
		}
		ended := false
		for _, e := range group[1:] {
			ended = ended || e.Kind == Ended
			if e.Kind == Answered && e.Status == 200 && e.Got != want.Want {
				found = append(found, Violation{OwnAnswer, call + " received a response that is incomplete or belongs to another call", []Event{want, e}})
			}
		}
		if !ended {
			last := group[len(group)-1]
			found = append(found, Violation{OwnAnswer, call + " never ended", []Event{want, last}})
		}
	}
	return found
}

// CheckNotRunTruth reports responses that state not-run although a backend
// server ran the request, before or after the response. For a non-repeatable
// call, a run of any request for that call before the response is a violation
// as well.
func CheckNotRunTruth(events []Event) []Violation {
	var found []Violation
	for call, group := range byCall(events, Answered, Ran) {
		for _, response := range group {
			if response.Kind != Answered || response.Run != RunNot {
				continue
			}
			if ran, ok := contradiction(response, group); ok {
				found = append(found, Violation{NotRunTruth, call + " was reported as not-run but ran", []Event{ran, response}})
			}
		}
	}
	return found
}

// contradiction returns a run that contradicts a not-run response.
func contradiction(response Event, group []Event) (Event, bool) {
	for _, ran := range group {
		if ran.Kind != Ran {
			continue
		}
		if ran.RequestID != "" && ran.RequestID == response.RequestID {
			return ran, true
		}
		if response.NonRepeatable && ran.At.Before(response.At) {
			return ran, true
		}
	}
	return Event{}, false
}

// CheckAtMostOnce reports non-repeatable calls that ran more than once, and those
// that never ran although a successful response reported that they did.
func CheckAtMostOnce(events []Event) []Violation {
	var found []Violation
	for call, group := range byCall(events, Submitted, Answered, Ran) {
		if !group[0].NonRepeatable {
			continue
		}
		var runs, responses []Event
		for _, e := range group {
			switch {
			case e.Kind == Ran:
				runs = append(runs, e)
			case e.Kind == Answered && e.Run == RunRan && e.Status == 200:
				responses = append(responses, e)
			}
		}
		if len(runs) > 1 {
			found = append(found, Violation{AtMostOnce, fmt.Sprintf("%s ran %d times", call, len(runs)), runs})
		}
		if len(responses) > 0 && len(runs) == 0 {
			found = append(found, Violation{AtMostOnce, call + " was reported as run but never ran", responses})
		}
	}
	return found
}

// CheckLeaving reports requests that a backend server began to run later than
// limit after the platform's host list showed the server as leaving.
func CheckLeaving(events []Event, limit time.Duration) []Violation {
	var found []Violation
	leaving := map[string]Event{}
	for _, e := range events {
		switch e.Kind {
		case Leaving:
			leaving[e.Server] = e
		case Ran:
			l, ok := leaving[e.Server]
			if ok && e.At.Sub(l.At) > limit {
				text := fmt.Sprintf("%s began a request %s after it was listed as leaving", e.Server, e.At.Sub(l.At))
				found = append(found, Violation{LeavingBackend, text, []Event{l, e}})
			}
		}
	}
	return found
}

// LastWorkAfterLeaving returns the longest time between the host list showing a
// backend server as leaving and the start of the last request on that server, or
// zero if no request started.
func LastWorkAfterLeaving(events []Event) time.Duration {
	longest := time.Duration(0)
	leaving := map[string]Event{}
	for _, e := range events {
		switch e.Kind {
		case Leaving:
			leaving[e.Server] = e
		case Ran:
			if l, ok := leaving[e.Server]; ok {
				longest = max(longest, e.At.Sub(l.At))
			}
		}
	}
	return longest
}

// CheckGracefulStop reports requests that a planned stop interrupted, requests
// sent within ttl after the start of the stop that could not connect, and stopped
// daemons that did not exit with code 0. ttl is how long callers may cache a
// daemon's address.
func CheckGracefulStop(events []Event, ttl time.Duration) []Violation {
	var found []Violation
	for _, stop := range events {
		if stop.Kind != StopBegan {
			continue
		}
		found = append(found, checkStop(events, stop, ttl)...)
	}
	return found
}

func checkStop(events []Event, stop Event, ttl time.Duration) []Violation {
	var found []Violation
	attempts := map[string]Event{}
	ended := false
	for _, e := range events {
		if e.Daemon != stop.Daemon {
			continue
		}
		switch e.Kind {
		case Attempted:
			attempts[e.Attempt] = e
		case Killed:
			// Requests that end after the kill were not interrupted by the planned stop.
			if e.At.After(stop.At) {
				return found
			}
		case Cut:
			if e.At.After(stop.At) {
				text := stop.Daemon + " interrupted a request during its planned stop"
				found = append(found, Violation{GracefulStop, text, []Event{stop, attempts[e.Attempt], e}})
			}
		case ConnectFailed:
			attempt := attempts[e.Attempt]
			if attempt.At.After(stop.At) && attempt.At.Sub(stop.At) < ttl {
				text := stop.Daemon + " refused a connection while callers may still use its address"
				found = append(found, Violation{GracefulStop, text, []Event{stop, attempt, e}})
			}
		case Stopped:
			ended = true
			if e.Exit != 0 {
				text := fmt.Sprintf("%s stopped with exit code %d", stop.Daemon, e.Exit)
				found = append(found, Violation{GracefulStop, text, []Event{stop, e}})
			}
		}
	}
	if !ended {
		found = append(found, Violation{GracefulStop, stop.Daemon + " did not stop", []Event{stop}})
	}
	return found
}
