package test

import (
	"syscall"
	"time"

	"github.com/jacinththread/jacinththread/internal/proof"
	standinplatform "github.com/jacinththread/jacinththread/internal/standin/platform"
)

const (
	// outageTime and pauseTime are how long faults without an end of their own
	// last.
	outageTime = 1500 * time.Millisecond
	pauseTime  = 3 * time.Second
	// leavingBound is the time after which a leaving server gets no new work.
	leavingBound = 3 * time.Second
	// stopBound ends the wait for a planned stop that hangs.
	stopBound = 60 * time.Second
	// lostReplies is the number of store writes of each kind whose replies are
	// lost.
	lostReplies = 4
)

// fault is one entry of the script. Inject begins it, heal ends it.
type fault struct {
	name   string
	inject func(s *scene, target *daemon)
	heal   func(s *scene, target *daemon)
}

func nothing(*scene, *daemon) {}

// leaving names the fault that ends after all others.
const leaving = "leaving"

// faults is the fixed script: each alone, then in pairs.
var faults = []fault{
	{"kill", kill, restart},
	{"pause", pause, resume},
	{"stop", stop, awaitStop},
	{"silence", silenceAll, nothing},
	{"outage", outage, endOutage},
	{"lost-replies", loseReplies, nothing},
	{leaving, leave, checkLeft},
}

func kill(s *scene, m *daemon) {
	s.rec.Add(proof.Event{Kind: proof.Killed, Daemon: m.name})
	m.proc.Kill()
}

func restart(s *scene, m *daemon) {
	s.d.start(m)
	s.d.awaitReady(m)
}

func pause(_ *scene, m *daemon) { m.proc.Signal(syscall.SIGSTOP) }

func resume(_ *scene, m *daemon) {
	time.Sleep(pauseTime)
	m.proc.Signal(syscall.SIGCONT)
}

func stop(s *scene, m *daemon) {
	s.rec.Add(proof.Event{Kind: proof.StopBegan, Daemon: m.name})
	m.proc.Signal(syscall.SIGTERM)
}

func awaitStop(s *scene, m *daemon) {
	if code, ok := m.proc.WaitEnd(stopBound); ok {
		s.rec.Add(proof.Event{Kind: proof.Stopped, Daemon: m.name, Exit: code})
	}
	m.proc.Kill()
	restart(s, m)
}

// silenceAll makes the open connections to all backend servers silent, and
// those of the other daemons to the target.
func silenceAll(s *scene, m *daemon) {
	for _, b := range s.d.backends() {
		s.silenced += b.relay.silence()
	}
	s.silenced += m.relay.silence()
}

func outage(s *scene, _ *daemon) { s.d.platformFaults(standinplatform.Faults{Down: true}) }

func endOutage(s *scene, _ *daemon) {
	time.Sleep(outageTime)
	s.d.platformFaults(standinplatform.Faults{})
}

func loseReplies(s *scene, _ *daemon) {
	s.d.platformFaults(standinplatform.Faults{LoseReplies: lostReplies, Down: s.down})
}

// leave marks the last engine and the last plain server as leaving. They go on
// answering, so that work given to them is seen.
func leave(s *scene, _ *daemon) {
	for _, b := range s.leavers() {
		b.leaving = true
	}
	s.d.setHosts()
}

// checkLeft runs a batch of calls after the bound.
func checkLeft(s *scene, _ *daemon) {
	for _, b := range s.leavers() {
		s.rec.Add(proof.Event{Kind: proof.Leaving, Server: b.name})
	}
	time.Sleep(leavingBound)
	s.batch("left")
	s.calls.Wait()
	for _, b := range s.leavers() {
		b.leaving = false
	}
	s.d.setHosts()
}

func (s *scene) leavers() []*backend {
	return []*backend{s.d.engines[len(s.d.engines)-1], s.d.plains[len(s.d.plains)-1]}
}
