package proof

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the event with its time set to the given number of seconds.
func at(seconds float64, e Event) Event {
	e.At = epoch.Add(time.Duration(seconds * float64(time.Second)))
	return e
}

// validHistory returns a history without violations.
func validHistory() []Event {
	return []Event{
		at(0, Event{Kind: Submitted, Call: "fee-1", NonRepeatable: true, Want: "receipt 1"}),
		at(1, Event{Kind: Attempted, Call: "fee-1", Attempt: "t1", Daemon: "d1"}),
		at(2, Event{Kind: Answered, Call: "fee-1", NonRepeatable: true, Attempt: "t1", Daemon: "d1", RequestID: "r1", Status: 503, Run: RunNot}),
		at(2.5, Event{Kind: Leaving, Server: "s2"}),
		at(3, Event{Kind: Attempted, Call: "fee-1", Attempt: "t2", Daemon: "d2"}),
		at(3, Event{Kind: Ran, Call: "fee-1", NonRepeatable: true, RequestID: "r2", Server: "s1"}),
		at(4, Event{Kind: StopBegan, Daemon: "d2"}),
		at(5, Event{Kind: Answered, Call: "fee-1", NonRepeatable: true, Attempt: "t2", Daemon: "d2", RequestID: "r2", Status: 200, Run: RunRan, Got: "receipt 1"}),
		at(5, Event{Kind: Ended, Call: "fee-1"}),
		at(9, Event{Kind: Attempted, Call: "fee-1", Attempt: "t3", Daemon: "d2"}),
		at(9, Event{Kind: ConnectFailed, Call: "fee-1", Attempt: "t3", Daemon: "d2"}),
		at(9.5, Event{Kind: Stopped, Daemon: "d2"}),
	}
}

// checkAll runs every checker and returns the number of violations by invariant.
func checkAll(events []Event) map[ID]int {
	r := &Recorder{}
	for _, e := range events {
		r.Add(e)
	}
	ordered := r.Events()
	counts := map[ID]int{}
	for _, found := range [][]Violation{
		CheckOwnAnswer(ordered), CheckNotRunTruth(ordered), CheckAtMostOnce(ordered),
		CheckLeaving(ordered, 3*time.Second), CheckGracefulStop(ordered, 3*time.Second),
	} {
		for _, v := range found {
			counts[v.ID]++
		}
	}
	return counts
}

func TestValidHistoryHasNoViolation(t *testing.T) {
	assert.DeepEqual(t, checkAll(validHistory()), map[ID]int{})
}

// TestCheckersFindFaults breaks one invariant at a time in a valid history and
// expects one violation of that invariant.
func TestCheckersFindFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(e []Event) []Event
		want  ID
	}{
		{"response of another call", func(e []Event) []Event { e[7].Got = "receipt 2"; return e }, OwnAnswer},
		{"incomplete response", func(e []Event) []Event { e[7].Got = "receipt"; return e }, OwnAnswer},
		{"call never ended", func(e []Event) []Event { e[8].Kind = Attempted; return e }, OwnAnswer},
		{"not submitted", func(e []Event) []Event { return e[1:] }, OwnAnswer},
		{"request ran after its not-run response", func(e []Event) []Event { e[5].RequestID = "r1"; return e }, NotRunTruth},
		{"earlier attempt ran before a not-run response", func(e []Event) []Event {
			e[2] = at(4.5, e[2])
			return e
		}, NotRunTruth},
		{"call ran twice", func(e []Event) []Event { return append(e, at(6, e[5])) }, AtMostOnce},
		{"reported as run but never ran", func(e []Event) []Event { return append(e[:5:5], e[6:]...) }, AtMostOnce},
		{"request on a leaving server", func(e []Event) []Event {
			return append(e, at(5.6, Event{Kind: Ran, Call: "chat", Server: "s2"}))
		}, LeavingBackend},
		{"interrupted by a planned stop", func(e []Event) []Event { e[7].Kind = Cut; return e }, GracefulStop},
		{"connection refused while the address is in use", func(e []Event) []Event { e[9], e[10] = at(6, e[9]), at(6, e[10]); return e }, GracefulStop},
		{"non-zero exit code", func(e []Event) []Event { e[11].Exit = 1; return e }, GracefulStop},
		{"daemon did not stop", func(e []Event) []Event { return e[:11] }, GracefulStop},
	} {
		t.Run(c.name, func(t *testing.T) {
			counts := checkAll(c.fault(validHistory()))
			assert.Equal(t, counts[c.want], 1, "%v", counts)
		})
	}
}

func TestKilledDaemonIsNotBlamedForItsStop(t *testing.T) {
	events := append(validHistory()[:7],
		at(4.5, Event{Kind: Killed, Daemon: "d2"}),
		at(5, Event{Kind: Cut, Call: "fee-1", Attempt: "t2", Daemon: "d2"}),
		at(6, Event{Kind: Ended, Call: "fee-1"}))
	assert.DeepEqual(t, checkAll(events), map[ID]int{})
}

func TestSeedsComeFromTheEnvironment(t *testing.T) {
	t.Setenv(seedVariable, "")
	assert.DeepEqual(t, Seeds(t, 1, 3), []uint64{1, 2, 3})
	t.Setenv(seedVariable, "7")
	assert.DeepEqual(t, Seeds(t, 1, 3), []uint64{7})
	t.Setenv(seedVariable, "8..9")
	assert.DeepEqual(t, Seeds(t, 1, 3), []uint64{8, 9})
	for _, bad := range []string{"x", "1..x", "3..2"} {
		_, _, err := parseSeeds(bad)
		assert.Assert(t, err != nil, bad)
	}
}

func TestSummaryLine(t *testing.T) {
	line := Summary{AtMostOnce, 4, 100, 0, []uint64{2, 3, 5}}.Line()
	assert.Equal(t, line, "proof: at-most-once histories=4 events=100 violations=0 seeds=2..5")
}

func TestEventsAreWrittenAsLines(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, Write(&b, validHistory()[:2]))
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[0], `"want":"receipt 1"`))
	v := CheckOwnAnswer(validHistory()[1:])
	assert.Assert(t, strings.Contains(v[0].String(), "own-answer: fee-1"))
}
