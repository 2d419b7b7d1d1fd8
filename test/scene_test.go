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
	// batchCalls is the number of postings, and of streams, of a batch.
	batchCalls = 6
	// flightBound ends the wait for work in flight before a fault.
	flightBound = 5 * time.Second
	callTime    = 400 * time.Millisecond
	tokenGap    = 15 * time.Millisecond
)

// scene is one history: a batch of calls, faults while it is in flight, and
// another batch during the faults.
type scene struct {
	d         *deployment
	name      string
	rec       *proof.Recorder
	began     time.Time
	ended     time.Time
	calls     sync.WaitGroup
	started   chan struct{}
	elsewhere atomic.Int64
	silenced  int
	// down is set while a store outage is a part of the scene.
	down bool
}

func newScene(d *deployment, name string) *scene {
	return &scene{d: d, name: name, rec: &proof.Recorder{}, began: time.Now(), started: make(chan struct{}, 2*batchCalls)}
}

// batch starts postings and streams, spread over the daemons.
func (s *scene) batch(name string) {
	for i := range batchCalls {
		c := &caller{d: s.d, rec: s.rec, first: i, started: s.started, elsewhere: &s.elsewhere}
		id := fmt.Sprintf("%s.%s.%d", s.name, name, i)
		s.calls.Go(func() { c.post("post." + id) })
		s.calls.Go(func() { c.chat("chat."+id, []string{"counter", "review"}[i%2]) })
	}
}

// awaitFlight waits until postings and streams are in flight.
func (s *scene) awaitFlight() {
	for end := time.Now().Add(flightBound); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if len(s.started) >= batchCalls/2 && s.postings() >= batchCalls/2 {
			return
		}
	}
}

// postings returns how many postings of the scene the services began to run.
func (s *scene) postings() int {
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

// play runs the scene: the faults hit the daemons from target on.
func (s *scene) play(script []fault, target int) {
	for _, f := range script {
		s.down = s.down || f.name == "outage"
	}
	s.batch("before")
	s.awaitFlight()
	targets := make([]*daemon, len(script))
	for i, f := range script {
		targets[i] = s.d.daemons[(target+i)%len(s.d.daemons)]
		f.inject(s, targets[i])
	}
	s.batch("during")
	s.heal(script, targets)
	s.calls.Wait()
	s.ended = time.Now()
}

// heal ends the faults together, but for a leaving server: its bound counts
// from when every daemon can read the host list.
func (s *scene) heal(script []fault, targets []*daemon) {
	var others sync.WaitGroup
	for i, f := range script {
		if f.name != leaving {
			others.Go(func() { f.heal(s, targets[i]) })
		}
	}
	others.Wait()
	for i, f := range script {
		if f.name == leaving {
			f.heal(s, targets[i])
		}
	}
}

// events returns the history with what the backend servers recorded.
func (s *scene) events(runs []proof.Event) []proof.Event {
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
		own := r.Call != "" && (callOf[r.RequestID] != "" || strings.HasPrefix(r.Call, "post."+s.name+"."))
		inWindow := r.Call == "" && r.At.After(s.began) && r.At.Before(s.ended)
		if own || inWindow {
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

// allRuns returns everything that the backend servers ran.
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
