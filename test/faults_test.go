package test

import (
	"syscall"
	"time"

	"github.com/jacinththread/jacinththread/internal/proof"
	standinplatform "github.com/jacinththread/jacinththread/internal/standin/platform"
)

const (
	// outageTime and pauseTime are the durations of store outages and of process
	// pauses.
	outageTime = 1500 * time.Millisecond
	pauseTime  = 3 * time.Second
	// leavingTimeout is the time after which a server that is listed as leaving
	// must receive no new requests.
	leavingTimeout = 3 * time.Second
	// stopTimeout limits the wait for a planned stop that does not complete.
	stopTimeout = 60 * time.Second
	// droppedResponses is the number of store writes of each kind that take effect
	// but get no response.
	droppedResponses = 4
)

// fault is one entry of the script. inject starts the fault, end ends it.
type fault struct {
	name   string
	inject func(s *scenario, target *daemon)
	end    func(s *scenario, target *daemon)
}

func noop(*scenario, *daemon) {}

// leavingFault is the name of the fault that ends after all others.
const leavingFault = "leaving"

// faults is the fixed list of faults. scripts combines them.
var faults = []fault{
	{"kill", kill, restart},
	{"pause", pause, resume},
	{"stop", stop, awaitStop},
	{"silence", silenceAll, noop},
	{"outage", outage, endOutage},
	{"lost-replies", dropResponses, noop},
	{leavingFault, markLeaving, checkLeaving},
}

func kill(s *scenario, m *daemon) {
	s.rec.Add(proof.Event{Kind: proof.Killed, Daemon: m.name})
	m.proc.Kill()
}

func restart(s *scenario, m *daemon) {
	s.d.start(m)
	s.d.awaitReady(m)
}

func pause(_ *scenario, m *daemon) { m.proc.Signal(syscall.SIGSTOP) }

func resume(_ *scenario, m *daemon) {
	time.Sleep(pauseTime)
	m.proc.Signal(syscall.SIGCONT)
}

func stop(s *scenario, m *daemon) {
	s.rec.Add(proof.Event{Kind: proof.StopBegan, Daemon: m.name})
	m.proc.Signal(syscall.SIGTERM)
}

func awaitStop(s *scenario, m *daemon) {
	if code, ok := m.proc.WaitEnd(stopTimeout); ok {
		s.rec.Add(proof.Event{Kind: proof.Stopped, Daemon: m.name, Exit: code})
	}
	m.proc.Kill()
	restart(s, m)
}

// silenceAll silences the open connections to all backend servers and the open
// connections of other daemons to the target.
func silenceAll(s *scenario, m *daemon) {
	for _, b := range s.d.backends() {
		s.silenced += b.relay.silence()
	}
	s.silenced += m.relay.silence()
}

func outage(s *scenario, _ *daemon) { s.d.platformFaults(standinplatform.Faults{Down: true}) }

func endOutage(s *scenario, _ *daemon) {
	time.Sleep(outageTime)
	s.d.platformFaults(standinplatform.Faults{})
}

func dropResponses(s *scenario, _ *daemon) {
	s.d.platformFaults(standinplatform.Faults{DropResponses: droppedResponses, Down: s.storeDown})
}

// markLeaving lists the last engine and the last plain server as leaving. Both
// still serve requests, so that requests sent to them are recorded.
func markLeaving(s *scenario, _ *daemon) {
	for _, b := range s.leavingBackends() {
		b.leaving = true
	}
	s.d.setHosts()
}

// checkLeaving records the servers as leaving, sends a batch of calls after
// leavingTimeout and then lists the servers as live again.
func checkLeaving(s *scenario, _ *daemon) {
	for _, b := range s.leavingBackends() {
		s.rec.Add(proof.Event{Kind: proof.Leaving, Server: b.name})
	}
	time.Sleep(leavingTimeout)
	s.batch("left")
	s.calls.Wait()
	for _, b := range s.leavingBackends() {
		b.leaving = false
	}
	s.d.setHosts()
}

func (s *scenario) leavingBackends() []*backend {
	return []*backend{s.d.engines[len(s.d.engines)-1], s.d.plains[len(s.d.plains)-1]}
}
