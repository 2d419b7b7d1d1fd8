package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
)

// draft returns a request with a shared prompt part, for servers with memory for ten of them.
func draft(id string, urgency int) Request {
	return Request{
		Prompt: []Part{NewPart("shared", 900), NewPart(id, 50)}, TokensIn: 950, TokensOut: 50, Memory: 10_000,
		Urgency: urgency, MaxWait: MaxWait(time.Second, 1), Target: time.Second,
	}
}

// fillMemory places less urgent requests on servers until one is refused.
func fillMemory(t *testing.T, tracker *Tracker, all []*backend.Server) {
	t.Helper()
	for i := range 100 {
		f, refusal := tracker.Place(now, all, draft(fmt.Sprint("less-urgent-", i), 5))
		if refusal != nil {
			return
		}
		f.RecordProgress(now) // Keeps the backlog empty, so that only memory limits.
	}
	t.Fatal("no request was refused")
}

// It guards against urgent requests that are refused for the memory of less urgent ones, which servers preempt.
func TestMemoryOfLessUrgentRequestsRefusesNoUrgentOne(t *testing.T) {
	tracker := newTracker(1)
	all := servers(1)
	fillMemory(t, tracker, all)
	_, refusal := tracker.Place(now, all, draft("urgent", 3))
	assert.Assert(t, refusal == nil, "refused: %+v", refusal)
}

// It guards against urgent requests that are refused at one server while another one takes less urgent requests.
func TestUrgentRequestThatIsRefusedAtOneServerIsTriedAtAnother(t *testing.T) {
	tracker := newTracker(1)
	all := servers(2)
	fillMemory(t, tracker, all[:1])
	_, lessUrgent := tracker.Place(now, all[1:], draft("less-urgent", 5))
	assert.Assert(t, lessUrgent == nil)
	for i := range 5 {
		_, refusal := tracker.Place(now, all, draft(fmt.Sprint("urgent-", i), 3))
		assert.Assert(t, refusal == nil, "refused: %+v", refusal)
	}
}
