package load

import (
	"context"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/ctl/client"
)

// Sender sends one chat request and passes each content chunk of the response to
// receive.
type Sender interface {
	Complete(ctx context.Context, q client.Completion, o client.Options, receive func(string)) (client.Meta, error)
}

// Runner sends the requests of a workload and measures the responses.
type Runner struct {
	Workload *Workload
	Sender   Sender
	// Tokens are the bearer tokens of the streams, in the order of the workload.
	Tokens []string
	// Progress, if not nil, is called every ProgressEvery with the counts so
	// far.
	Progress func(Progress)
}

// ProgressEvery is the time between two calls of Runner.Progress.
const ProgressEvery = time.Second

// Progress is the state of a running load.
type Progress struct {
	Elapsed, Duration time.Duration
	Sent, InFlight    int
	Completed         int
	Refused           int
	Failed            int
}

// Run sends each request at its planned arrival time, without waiting for
// earlier responses, and then waits for all responses. When ctx is done, it
// stops sending and cancels the requests in flight.
func (r *Runner) Run(ctx context.Context) *Report {
	run := &run{
		Runner:        r,
		begin:         time.Now(),
		inFlightSlots: make(chan struct{}, r.Workload.MaxInFlight),
		stats:         newStats(r.Workload),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopProgress := run.reportProgress()
	run.sendAll(ctx)
	run.drain(cancel)
	stopProgress()
	return run.stats.report(time.Since(run.begin))
}

// run is one execution of a Runner.
type run struct {
	*Runner
	begin         time.Time
	inFlightSlots chan struct{}
	stats         *stats
	inFlight      sync.WaitGroup
}

// sendAll starts the requests. An arrival that finds no free slot is counted as
// not sent: delaying it would turn the open-loop load into a closed-loop one.
func (r *run) sendAll(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range arrivals(r.Workload) {
		timer.Reset(time.Until(r.begin.Add(a.at)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		select {
		case r.inFlightSlots <- struct{}{}:
			r.stats.sent(a.stream)
			r.inFlight.Go(func() { r.sendOne(ctx, a) })
		default:
			r.stats.notSent(a.stream)
		}
	}
}

// drain waits for the requests in flight and cancels those that are still
// running after the drain time.
func (r *run) drain(cancel context.CancelFunc) {
	timeout := time.AfterFunc(time.Duration(r.Workload.DrainMs)*time.Millisecond, cancel)
	defer timeout.Stop()
	r.inFlight.Wait()
}

func (r *run) sendOne(ctx context.Context, a arrival) {
	defer func() { <-r.inFlightSlots }()
	s := r.Workload.Streams[a.stream]
	q := client.Completion{
		Model:     r.Workload.ModelOf(s),
		Messages:  []client.Message{{Role: "user", Content: prompt(a)}},
		MaxTokens: a.outputTokens,
		Stream:    true,
	}
	o := client.Options{Token: r.Tokens[a.stream], Class: s.Class, DeadlineMs: s.DeadlineMs}
	// Latencies are measured from the planned arrival, so that they include
	// delays of the load generator itself.
	sample := sample{planned: r.begin.Add(a.at)}
	_, err := r.Sender.Complete(ctx, q, o, sample.receive)
	r.stats.finished(a.stream, sample, err)
}

func (r *run) reportProgress() (stop func()) {
	if r.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() {
		ticker := time.NewTicker(ProgressEvery)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				r.Progress(r.stats.progress(time.Since(r.begin)))
			}
		}
	})
	return func() {
		close(done)
		reporter.Wait()
	}
}

// sample holds the measurements of one request.
type sample struct {
	planned     time.Time
	first, last time.Time
	tokens      int
}

// receive records the arrival of a content chunk, which counts as one token.
func (s *sample) receive(string) {
	now := time.Now()
	if s.tokens == 0 {
		s.first = now
	}
	s.last = now
	s.tokens++
}

// gap returns the mean time between tokens.
func (s *sample) gap() time.Duration {
	if s.tokens < 2 {
		return 0
	}
	return s.last.Sub(s.first) / time.Duration(s.tokens-1)
}
