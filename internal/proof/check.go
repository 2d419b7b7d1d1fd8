package proof

import (
	"fmt"
	"strings"
	"time"
)

// ID names what is proved.
type ID string

// What must always hold.
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

// Violation is a breach of a rule with the events that show it.
type Violation struct {
	ID     ID
	Text   string
	Events []Event
}

// String returns the text and the events, one a line.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", v.ID, v.Text)
	for _, e := range v.Events {
		fmt.Fprintf(&b, "\n\t%+v", e)
	}
	return b.String()
}

// byCall groups events of the kinds by their call, in the order of events.
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

// CheckOwnAnswer reports successful answers that are not the complete answer
// to the caller's own call, and calls whose caller never got to an end.
func CheckOwnAnswer(events []Event) []Violation {
	var found []Violation
	for call, group := range byCall(events, Submitted, Answered, Ended) {
		want := group[0]
		if want.Kind != Submitted {
			found = append(found, Violation{OwnAnswer, call + " was answered before it was submitted", group})
			continue
		}
		ended := false
		for _, e := range group[1:] {
			ended = ended || e.Kind == Ended
			if e.Kind == Answered && e.Status == 200 && e.Got != want.Want {
				found = append(found, Violation{OwnAnswer, call + " got an answer that is not its own or not complete", []Event{want, e}})
			}
		}
		if !ended {
			last := group[len(group)-1]
			found = append(found, Violation{OwnAnswer, call + " never ended", []Event{want, last}})
		}
	}
	return found
}

// CheckNotRunTruth reports answers that say not-run although a backend server
// ran the request at any time, or, for a call that may not be repeated, ran
// any request for the call before the answer.
func CheckNotRunTruth(events []Event) []Violation {
	var found []Violation
	for call, group := range byCall(events, Answered, Ran) {
		for _, answer := range group {
			if answer.Kind != Answered || answer.Run != RunNot {
				continue
			}
			if ran, ok := contradiction(answer, group); ok {
				found = append(found, Violation{NotRunTruth, call + " was told not-run and was run", []Event{ran, answer}})
			}
		}
	}
	return found
}

// contradiction returns a run that an answer denies.
func contradiction(answer Event, group []Event) (Event, bool) {
	for _, ran := range group {
		if ran.Kind != Ran {
			continue
		}
		if ran.RequestID != "" && ran.RequestID == answer.RequestID {
			return ran, true
		}
		if answer.Once && ran.At.Before(answer.At) {
			return ran, true
		}
	}
	return Event{}, false
}

// CheckAtMostOnce reports calls that may not be repeated and ran more than
// once, and such calls that were answered as run and never ran.
func CheckAtMostOnce(events []Event) []Violation {
	var found []Violation
	for call, group := range byCall(events, Submitted, Answered, Ran) {
		if !group[0].Once {
			continue
		}
		var runs, answers []Event
		for _, e := range group {
			switch {
			case e.Kind == Ran:
				runs = append(runs, e)
			case e.Kind == Answered && e.Run == RunRan && e.Status == 200:
				answers = append(answers, e)
			}
		}
		if len(runs) > 1 {
			found = append(found, Violation{AtMostOnce, fmt.Sprintf("%s ran %d times", call, len(runs)), runs})
		}
		if len(answers) > 0 && len(runs) == 0 {
			found = append(found, Violation{AtMostOnce, call + " was answered as run and never ran", answers})
		}
	}
	return found
}

// CheckLeaving reports runs that began on a backend server later than within
// after the platform's host list showed it as leaving.
func CheckLeaving(events []Event, within time.Duration) []Violation {
	var found []Violation
	leaving := map[string]Event{}
	for _, e := range events {
		switch e.Kind {
		case Leaving:
			leaving[e.Server] = e
		case Ran:
			l, ok := leaving[e.Server]
			if ok && e.At.Sub(l.At) > within {
				text := fmt.Sprintf("%s got work %s after it was listed as leaving", e.Server, e.At.Sub(l.At))
				found = append(found, Violation{LeavingBackend, text, []Event{l, e}})
			}
		}
	}
	return found
}

// LastWorkAfterLeaving returns the longest time from when the host list showed a
// backend server as leaving to the last run that began on it; zero if none did.
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

// CheckGracefulStop reports requests that a planned stop cut, requests that
// found a stopping daemon closed while callers may still use its address, and
// stops that did not end well. The entry ttl is how long callers may keep an
// address.
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
	tried := map[string]Event{}
	ended := false
	for _, e := range events {
		if e.Daemon != stop.Daemon {
			continue
		}
		switch e.Kind {
		case Tried:
			tried[e.Try] = e
		case Killed:
			// Whatever ends after this was not cut by the planned stop.
			if e.At.After(stop.At) {
				return found
			}
		case Cut:
			if e.At.After(stop.At) {
				text := stop.Daemon + " cut a request during its planned stop"
				found = append(found, Violation{GracefulStop, text, []Event{stop, tried[e.Try], e}})
			}
		case Unreached:
			t := tried[e.Try]
			if t.At.After(stop.At) && t.At.Sub(stop.At) < ttl {
				text := stop.Daemon + " was closed while callers may keep its address"
				found = append(found, Violation{GracefulStop, text, []Event{stop, t, e}})
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
