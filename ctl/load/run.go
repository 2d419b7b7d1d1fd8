package load

import (
	"context"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/ctl/client"
)

// Sender sends one chat request and hands on the pieces of its answer.
type Sender interface {
	Complete(ctx context.Context, q client.Completion, o client.Options, receive func(string)) (client.Meta, error)
}

// Runner sends a workload.
type Runner struct {
	Workload *Workload
	Sender   Sender
	// Tokens are the customers' tokens, one for each stream.
	Tokens []string
	// Progress is called each ProgressEvery with the counts so far; nil
	// reports none.
	Progress func(Progress)
}

// ProgressEvery is the time between two calls of Runner.Progress.
const ProgressEvery = time.Second

// Progress is the state of a load that runs.
type Progress struct {
	Elapsed, Duration time.Duration
	Sent, Open        int
	Completed         int
	Refused           int
	Failed            int
}

// Run sends all requests at their times, whether earlier ones have been
// answered or not, and waits for the answers. When ctx ends it sends no more
// and cancels the open ones.
func (r *Runner) Run(ctx context.Context) *Report {
	run := &run{
		Runner: r,
		begin:  time.Now(),
		slots:  make(chan struct{}, r.Workload.MaxInFlight),
		stats:  newStats(r.Workload),
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
	begin time.Time
	slots chan struct{}
	stats *stats
	open  sync.WaitGroup
}

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
		case r.slots <- struct{}{}:
			r.stats.sent(a.stream)
			r.open.Go(func() { r.sendOne(ctx, a) })
		default:
			r.stats.notSent(a.stream)
		}
	}
}

// drain waits for the open requests and cancels those that outlast the bound.
func (r *run) drain(cancel context.CancelFunc) {
	bound := time.AfterFunc(time.Duration(r.Workload.DrainMs)*time.Millisecond, cancel)
	defer bound.Stop()
	r.open.Wait()
}

func (r *run) sendOne(ctx context.Context, a arrival) {
	defer func() { <-r.slots }()
	s := r.Workload.Streams[a.stream]
	q := client.Completion{
		Model:     r.Workload.ModelOf(s),
		Messages:  []client.Message{{Role: "user", Content: prompt(a)}},
		MaxTokens: a.outputTokens,
		Stream:    true,
	}
	o := client.Options{Token: r.Tokens[a.stream], Class: s.Class, DeadlineMs: s.DeadlineMs}
	// Times count from the planned arrival, so that a late start of the sender
	// itself is not hidden.
	sample := sample{planned: r.begin.Add(a.at)}
	_, err := r.Sender.Complete(ctx, q, o, sample.receive)
	r.stats.finished(a.stream, sample, err)
}

func (r *run) reportProgress() (stop func()) {
	if r.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Go(func() {
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
		ended.Wait()
	}
}

// sample is what is measured of one request.
type sample struct {
	planned     time.Time
	first, last time.Time
	tokens      int
}

// receive counts each piece of an answer as one token.
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
