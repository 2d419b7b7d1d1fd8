// Package proof records the events of a test run and checks them for violations
// of the system's invariants. Checkers are pure functions over recorded events.
package proof

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind string

// Kinds of events. A call is a unit of work that a caller wants done; an attempt
// is one request sent for a call.
const (
	// Submitted: a caller began a call. Want is the expected response.
	Submitted Kind = "submitted"
	// Attempted: a request for the call was sent to a daemon.
	Attempted Kind = "tried"
	// Answered: the complete response to an attempt arrived.
	Answered Kind = "answered"
	// Cut: the connection of an attempt closed before its response was complete.
	Cut Kind = "cut"
	// Abandoned: the caller stopped waiting for the response to an attempt.
	Abandoned Kind = "left"
	// ConnectFailed: no connection could be opened for an attempt.
	ConnectFailed Kind = "unreached"
	// Ran: a backend server recorded that it ran a request.
	Ran Kind = "ran"
	// Ended: the caller makes no further attempts for a call.
	Ended Kind = "ended"
	// Leaving: the platform's host list showed a backend server as leaving.
	Leaving Kind = "leaving"
	// StopBegan: a daemon was asked to stop (a planned stop).
	StopBegan Kind = "stop-began"
	// Stopped: a daemon's process exited after a planned stop.
	Stopped Kind = "stopped"
	// Killed: a daemon's process was killed.
	Killed Kind = "killed"
	// Shed: a request was refused because capacity was exhausted.
	Shed Kind = "shed"
	// Preempted: a running request was stopped to free capacity for another.
	Preempted Kind = "preempted"
	// BundleAccepted: a bundle version became the current one in the store.
	BundleAccepted Kind = "bundle-accepted"
	// BundleInForce: a daemon began to apply a bundle version.
	BundleInForce Kind = "bundle-in-force"
)

// Run states that a response can report: whether the request ran on a backend
// server.
const (
	RunRan     = "ran"
	RunNot     = "not-run"
	RunUnknown = "unknown"
)

// Event is one recorded event. Fields that do not apply to its kind are empty.
type Event struct {
	Seq  int       `json:"seq"`
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Call is the ID of the call, unique within the history.
	Call string `json:"call,omitempty"`
	// NonRepeatable is set for calls that may run at most once.
	NonRepeatable bool `json:"once,omitempty"`
	// Attempt is the ID of one request, unique within the history.
	Attempt string `json:"try,omitempty"`
	// RequestID is the ID that the daemon assigned to the request.
	RequestID string `json:"request_id,omitempty"`
	Daemon    string `json:"daemon,omitempty"`
	Server    string `json:"server,omitempty"`
	Status    int    `json:"status,omitempty"`
	// Run is the run state, such as RunRan, that the response reported.
	Run string `json:"run,omitempty"`
	// Want is the expected response body, Got the received one.
	Want string `json:"want,omitempty"`
	Got  string `json:"got,omitempty"`
	// Tier is the priority tier; 0 is the highest.
	Tier    int    `json:"tier,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Exit is the exit code of the process.
	Exit int `json:"exit,omitempty"`
}

// Recorder collects events. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// Add records an event. If At is zero, it is set to the current time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	e.Seq = len(r.events) + 1
	r.events = append(r.events, e)
}

// Events returns the events sorted by time, then by the order of recording.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.events)
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Seq, b.Seq))
	})
	return out
}

// Write writes events as newline-delimited JSON.
func Write(w io.Writer, events []Event) error {
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}
