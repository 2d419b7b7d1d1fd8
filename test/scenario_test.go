package test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinththread/jacinththread/internal/proof"
	"github.com/jacinththread/jacinththread/internal/standin/engine"
	"github.com/jacinththread/jacinththread/internal/standin/plain"
)

const (
	// batchCalls is the number of postings, which are non-repeatable calls to the
	// plain service, and the number of streams in a batch.
	batchCalls = 6
	// inFlightTimeout limits the wait for requests in flight before a fault is
	// injected.
	inFlightTimeout = 5 * time.Second
	callDuration    = 400 * time.Millisecond
	tokenGap        = 15 * time.Millisecond
)

// scenario is one run of a script: a batch of calls, faults injected while the
// batch is in flight, and another batch during the faults. Each scenario has its
// own history.
type scenario struct {
	d        *deployment
	name     string
	rec      *proof.Recorder
	began    time.Time
	ended    time.Time
	calls    sync.WaitGroup
	started  chan struct{}
	retries  atomic.Int64
	silenced int
	// storeDown is set if the script contains a store outage.
	storeDown bool
}

func newScenario(d *deployment, name string) *scenario {
	return &scenario{d: d, name: name, rec: &proof.Recorder{}, began: time.Now(), started: make(chan struct{}, 2*batchCalls)}
}

// batch starts postings and streams, distributed over the daemons.
func (s *scenario) batch(name string) {
	for i := range batchCalls {
		c := &caller{d: s.d, rec: s.rec, first: i, started: s.started, retries: &s.retries}
		id := fmt.Sprintf("%s.%s.%d", s.name, name, i)
		s.calls.Go(func() { c.post("post." + id) })
		s.calls.Go(func() { c.chat("chat."+id, []string{"counter", "review"}[i%2]) })
	}
}

// awaitInFlight waits until half of the postings and of the streams have started,
// but no longer than inFlightTimeout.
func (s *scenario) awaitInFlight() {
	for end := time.Now().Add(inFlightTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if len(s.started) >= batchCalls/2 && s.postings() >= batchCalls/2 {
			return
		}
	}
}

// postings returns the number of the scenario's postings that the plain servers
// have recorded.
func (s *scenario) postings() int {
	n := 0
	for _, b := range s.d.plains {
		for _, r := range plainRuns(s.d, b) {
			if strings.HasPrefix(r.Path, "/postings/post."+s.name+".") {
				n++
			}
		}
	}
	return n
}

// play runs the script. Its faults apply to consecutive daemons, starting at index
// target.
func (s *scenario) play(script []fault, target int) {
	for _, f := range script {
		s.storeDown = s.storeDown || f.name == "outage"
	}
	s.batch("before")
	s.awaitInFlight()
	targets := make([]*daemon, len(script))
	for i, f := range script {
		targets[i] = s.d.daemons[(target+i)%len(s.d.daemons)]
		f.inject(s, targets[i])
	}
	s.batch("during")
	s.endFaults(script, targets)
	s.calls.Wait()
	s.ended = time.Now()
}

// endFaults ends the leaving fault after all others have ended, which end
// concurrently: leavingTimeout counts from the time when every daemon can read
// the host list.
func (s *scenario) endFaults(script []fault, targets []*daemon) {
	var others sync.WaitGroup
	for i, f := range script {
		if f.name != leavingFault {
			others.Go(func() { f.end(s, targets[i]) })
		}
	}
	others.Wait()
	for i, f := range script {
		if f.name == leavingFault {
			f.end(s, targets[i])
		}
	}
}

// events returns the history including those runs of the backend servers that
// belong to the scenario: by request ID, by the path of a posting, or, for runs of
// an unknown call, by time.
func (s *scenario) events(runs []proof.Event) []proof.Event {
	callOf := map[string]string{}
	for _, e := range s.rec.Events() {
		if e.RequestID != "" {
			callOf[e.RequestID] = e.Call
		}
	}
	for _, r := range runs {
		if call, ok := callOf[r.RequestID]; ok {
			r.Call = call
		}
		ownCall := r.Call != "" && (callOf[r.RequestID] != "" || strings.HasPrefix(r.Call, "post."+s.name+"."))
		duringScenario := r.Call == "" && r.At.After(s.began) && r.At.Before(s.ended)
		if ownCall || duringScenario {
			s.rec.Add(r)
		}
	}
	return s.rec.Events()
}

func plainRuns(d *deployment, b *backend) []plain.Run {
	var runs []plain.Run
	if err := d.get("http://"+b.addr+"/admin/runs", &runs); err != nil {
		d.t.Fatalf("runs of %s: %v", b.name, err)
	}
	return runs
}

// allRuns returns all runs that the backend servers recorded.
func allRuns(d *deployment) []proof.Event {
	var all []proof.Event
	for _, b := range d.plains {
		for _, r := range plainRuns(d, b) {
			call := strings.TrimPrefix(r.Path, "/postings/")
			all = append(all, proof.Event{Kind: proof.Ran, At: r.Started, Call: call, NonRepeatable: true, RequestID: r.RequestID, Server: b.name})
		}
	}
	for _, b := range d.engines {
		var runs []engine.Run
		if err := d.get("http://"+b.addr+"/admin/runs", &runs); err != nil {
			d.t.Fatalf("runs of %s: %v", b.name, err)
		}
		for _, r := range runs {
			all = append(all, proof.Event{Kind: proof.Ran, At: r.Started, RequestID: r.RequestID, Server: b.name})
		}
	}
	return all
}
