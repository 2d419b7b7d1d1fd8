package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinththread/jacinththread/internal/proof"
)

// lateWork is how long the proofs wait, after the last caller ended, for work
// that a daemon might still begin.
const lateWork = 2 * time.Second

// checks are the rules that process runs prove.
var checks = []struct {
	id    proof.ID
	check func([]proof.Event) []proof.Violation
}{
	{proof.OwnAnswer, proof.CheckOwnAnswer},
	{proof.NotRunTruth, proof.CheckNotRunTruth},
	{proof.AtMostOnce, proof.CheckAtMostOnce},
	{proof.LeavingBackend, func(e []proof.Event) []proof.Violation { return proof.CheckLeaving(e, leavingBound) }},
	{proof.GracefulStop, func(e []proof.Event) []proof.Violation { return proof.CheckGracefulStop(e, entryTTL) }},
}

// scripts returns the faults singly and in pairs. Pairs with one fault in common
// are kept apart, so that a pool recovers between them.
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

// TestProofProcesses runs the script of faults on a deployment of real
// processes. The seed turns which daemons the faults hit.
func TestProofProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for more than a minute")
	}
	seeds := proof.Seeds(t, 1, 1)
	d := deploy(t)
	d.pace(callTime, tokenGap)
	var scenes []*scene
	for _, seed := range seeds {
		for i, script := range scripts() {
			scenes = append(scenes, playScript(t, d, script, seed, int(seed)+i))
		}
	}
	time.Sleep(lateWork)
	runs := allRuns(d)
	events := 0
	last := time.Duration(0)
	histories := make([][]proof.Event, len(scenes))
	for i, s := range scenes {
		histories[i] = s.events(runs)
		events += len(histories[i])
		last = max(last, proof.LastWorkAfterLeaving(histories[i]))
	}
	t.Logf("the last work on a leaving backend server began %v after the list showed it", last)
	for _, c := range checks {
		violations := 0
		for i, s := range scenes {
			for _, v := range c.check(histories[i]) {
				violations++
				t.Errorf("scene %s: %v", s.name, v)
			}
		}
		proof.Line(c.id, len(scenes), events, violations, seeds)
	}
}

func playScript(t *testing.T, d *deployment, script []fault, seed uint64, target int) *scene {
	name := fmt.Sprintf("%d", seed)
	for _, f := range script {
		name += "-" + f.name
	}
	s := newScene(d, name)
	began := time.Now()
	s.play(script, target)
	t.Logf("scene %-22s %5.1f s, %d answers not final, %d connections silenced",
		name, time.Since(began).Seconds(), s.elsewhere.Load(), s.silenced)
	return s
}
