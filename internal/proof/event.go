// Package proof records what happened in a run and checks it against what must
// always hold. Checkers are pure functions over recorded events.
package proof

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"
)

// Kind is what happened.
type Kind string

// Kinds of events. A call is what a caller wants done; a try is one request
// for it.
const (
	// Submitted: a caller began a call. Want is the answer that is its own.
	Submitted Kind = "submitted"
	// Tried: a request for the call was sent to a daemon.
	Tried Kind = "tried"
	// Answered: the complete answer of a try arrived.
	Answered Kind = "answered"
	// Cut: the connection of a try ended before its answer was complete.
	Cut Kind = "cut"
	// Left: the caller of a try gave up waiting for its answer.
	Left Kind = "left"
	// Unreached: no connection was made for a try.
	Unreached Kind = "unreached"
	// Ran: a backend server recorded that it ran a request.
	Ran Kind = "ran"
	// Ended: the caller of a call stopped trying.
	Ended Kind = "ended"
	// Leaving: the platform's host list showed a backend server as leaving.
	Leaving Kind = "leaving"
	// StopBegan: a daemon was told to stop.
	StopBegan Kind = "stop-began"
	// Stopped: a daemon's process ended after a planned stop.
	Stopped Kind = "stopped"
	// Killed: a daemon's process was killed.
	Killed Kind = "killed"
	// Shed: a request was refused for want of capacity.
	Shed Kind = "shed"
	// Preempted: a running request made room for another.
	Preempted Kind = "preempted"
	// BundleAccepted: a bundle version became the current one in the store.
	BundleAccepted Kind = "bundle-accepted"
	// BundleInForce: a daemon put a bundle version in force.
	BundleInForce Kind = "bundle-in-force"
)

// Run states as answers give them.
const (
	RunRan     = "ran"
	RunNot     = "not-run"
	RunUnknown = "unknown"
)

// Event is one thing that happened. Fields that do not belong to its kind are
// empty.
type Event struct {
	Seq  int       `json:"seq"`
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	// Call names the caller's call, unique in the history.
	Call string `json:"call,omitempty"`
	// Once is set for calls that may not be repeated.
	Once bool `json:"once,omitempty"`
	// Try names one request, unique in the history.
	Try string `json:"try,omitempty"`
	// RequestID is the ID that the system gave the request.
	RequestID string `json:"request_id,omitempty"`
	Daemon    string `json:"daemon,omitempty"`
	Server    string `json:"server,omitempty"`
	Status    int    `json:"status,omitempty"`
	// Run is the run state that the answer stated.
	Run string `json:"run,omitempty"`
	// Want is the caller's own answer, Got the one that arrived.
	Want string `json:"want,omitempty"`
	Got  string `json:"got,omitempty"`
	// Tier is 0 for the highest.
	Tier    int    `json:"tier,omitempty"`
	Version uint64 `json:"version,omitempty"`
	// Exit is the exit code of a stopped process.
	Exit int `json:"exit,omitempty"`
}

// Recorder collects events. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// Add records an event. It sets At to the current time if it is zero.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At.IsZero() {
		e.At = time.Now()
	}
	e.Seq = len(r.events) + 1
	r.events = append(r.events, e)
}

// Events returns the events in order of time.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.events)
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Seq, b.Seq))
	})
	return out
}

// Write writes events as JSON lines.
func Write(w io.Writer, events []Event) error {
	enc := json.NewEncoder(w)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}
