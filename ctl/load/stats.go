package load

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinththread/jacinththread/ctl/client"
)

// Histograms record microseconds, up to an hour, with three significant digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// stats collects the counts and latencies of a run. It is safe for concurrent
// use.
type stats struct {
	mu       sync.Mutex
	workload *Workload
	// streams is parallel to the streams of the workload.
	streams []streamStats
}

type streamStats struct {
	counts     Counts
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
}

func newStats(w *Workload) *stats {
	s := &stats{workload: w, streams: make([]streamStats, len(w.Streams))}
	for i := range s.streams {
		s.streams[i].firstToken = newHistogram()
		s.streams[i].gap = newHistogram()
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func (s *stats) sent(stream int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream].counts.Offered++
	s.streams[stream].counts.inFlight++
}

func (s *stats) notSent(stream int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream].counts.Offered++
	s.streams[stream].counts.NotSent++
}

func (s *stats) finished(stream int, m sample, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &s.streams[stream]
	st.counts.inFlight--
	if m.tokens > 0 {
		record(st.firstToken, m.first.Sub(m.planned))
		record(st.gap, m.gap())
	}
	if err != nil {
		st.counts.countFailure(err)
		st.counts.WastedTokens += m.tokens
		return
	}
	st.counts.Completed++
	st.counts.Tokens += m.tokens
	if meetsTargets(s.workload.Streams[stream], m) {
		st.counts.Attained++
		st.counts.AttainedTokens += m.tokens
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values above the maximum are recorded as the maximum.
	_ = h.RecordValue(min(max(d.Microseconds(), 0), histogramMax))
}

// meetsTargets reports whether a completed request met the targets of its stream.
func meetsTargets(s Stream, m sample) bool {
	late := m.tokens == 0 || m.first.Sub(m.planned) > time.Duration(s.FirstTokenMs)*time.Millisecond
	if s.FirstTokenMs > 0 && late {
		return false
	}
	return s.TokenGapMs == 0 || m.gap() <= time.Duration(s.TokenGapMs)*time.Millisecond
}

// countFailure counts a request that was not completed, by the kind of its error.
func (c *Counts) countFailure(err error) {
	var refused *client.RefusedError
	var unreachable *client.UnreachableError
	switch {
	case errors.As(err, &refused) && refused.Status != 0:
		c.Refused++
	case errors.As(err, &unreachable):
		c.Unreachable++
	default:
		c.Failed++
	}
}

func (s *stats) progress(elapsed time.Duration) Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Progress{Elapsed: elapsed, Duration: time.Duration(s.workload.DurationMs) * time.Millisecond}
	for i := range s.streams {
		c := s.streams[i].counts
		p.Sent += c.Offered - c.NotSent
		p.InFlight += c.inFlight
		p.Completed += c.Completed
		p.Refused += c.Refused
		p.Failed += c.Failed + c.Unreachable
	}
	return p
}
