package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinththread/jacinththread/internal/proof"
)

// lateRequestWait is the wait after the last call ended, so that requests that a
// daemon sends late are recorded too.
const lateRequestWait = 2 * time.Second

// checks lists the invariants that every recorded history is checked against.
var checks = []struct {
	id    proof.ID
	check func([]proof.Event) []proof.Violation
}{
	{proof.OwnAnswer, proof.CheckOwnAnswer},
	{proof.NotRunTruth, proof.CheckNotRunTruth},
	{proof.AtMostOnce, proof.CheckAtMostOnce},
	{proof.LeavingBackend, func(e []proof.Event) []proof.Violation { return proof.CheckLeaving(e, leavingTimeout) }},
	{proof.GracefulStop, func(e []proof.Event) []proof.Violation { return proof.CheckGracefulStop(e, entryTTL) }},
}

// scripts returns each fault alone and all pairs of faults. Pairs are ordered by
// distance in the list, which separates pairs that share a fault, so that a pool
// recovers between them.
func scripts() [][]fault {
	var all [][]fault
	for _, f := range faults {
		all = append(all, []fault{f})
	}
	for distance := 1; distance < len(faults); distance++ {
		for i, f := range faults[:len(faults)-distance] {
			all = append(all, []fault{f, faults[i+distance]})
		}
	}
	return all
}

// TestProofProcesses injects each script of faults into a deployment of real
// processes and checks the recorded histories. The seed selects the daemons that
// the faults apply to.
func TestProofProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for more than a minute")
	}
	seeds := proof.Seeds(t, 1, 1)
	d := deploy(t)
	d.setResponseTimes(callDuration, tokenGap)
	var scenarios []*scenario
	for _, seed := range seeds {
		for i, script := range scripts() {
			scenarios = append(scenarios, playScript(t, d, script, seed, int(seed)+i))
		}
	}
	time.Sleep(lateRequestWait)
	runs := allRuns(d)
	events := 0
	last := time.Duration(0)
	histories := make([][]proof.Event, len(scenarios))
	for i, s := range scenarios {
		histories[i] = s.events(runs)
		events += len(histories[i])
		last = max(last, proof.LastWorkAfterLeaving(histories[i]))
	}
	t.Logf("the last request on a leaving backend server began %v after the host list showed it as leaving", last)
	for _, c := range checks {
		violations := 0
		for i, s := range scenarios {
			for _, v := range c.check(histories[i]) {
				violations++
				t.Errorf("scenario %s: %v", s.name, v)
			}
		}
		proof.Line(c.id, len(scenarios), events, violations, seeds)
	}
}

func playScript(t *testing.T, d *deployment, script []fault, seed uint64, target int) *scenario {
	name := fmt.Sprintf("%d", seed)
	for _, f := range script {
		name += "-" + f.name
	}
	s := newScenario(d, name)
	began := time.Now()
	s.play(script, target)
	t.Logf("scenario %-22s %5.1f s, %d attempts without a final outcome, %d connections silenced",
		name, time.Since(began).Seconds(), s.retries.Load(), s.silenced)
	return s
}
