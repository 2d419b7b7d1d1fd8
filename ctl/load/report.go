package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counts are the numbers of requests of a class by outcome.
type Counts struct {
	// Offered is the number of arrivals: the sum of Completed, Refused, Failed,
	// Unreachable and NotSent.
	Offered   int `json:"offered"`
	Completed int `json:"completed"`
	// Refused requests received an error response; Failed requests received no
	// complete response; Unreachable requests could not connect to a daemon.
	Refused     int `json:"refused"`
	Failed      int `json:"failed"`
	Unreachable int `json:"unreachable"`
	NotSent     int `json:"not_sent"`
	// Attained is the number of completed requests that met their targets.
	Attained int `json:"attained"`
	// Tokens is the number of tokens of completed requests, AttainedTokens of
	// those that met their targets, WastedTokens of those never completed.
	Tokens         int `json:"tokens"`
	AttainedTokens int `json:"attained_tokens"`
	WastedTokens   int `json:"wasted_tokens"`

	inFlight int
}

// Quantiles are quantiles of a latency distribution, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// ClassReport is the result for one service class.
type ClassReport struct {
	Class string `json:"class"`
	Counts
	// Attainment is the share of all offered requests that were completed
	// within their targets; WastedShare is the share of all tokens received
	// that belong to requests never completed.
	Attainment  float64 `json:"attainment"`
	WastedShare float64 `json:"wasted_share"`
	// GoodRequests and GoodTokens are the goodput: the requests completed within
	// their targets, and their tokens, per second.
	GoodRequests float64   `json:"good_requests_per_second"`
	GoodTokens   float64   `json:"good_tokens_per_second"`
	FirstToken   Quantiles `json:"first_token"`
	TokenGap     Quantiles `json:"token_gap"`
}

// Report is the result of a load run.
type Report struct {
	// ElapsedMs is the time from the start of the load to the end of the last
	// request, in milliseconds.
	ElapsedMs int64         `json:"elapsed_ms"`
	Classes   []ClassReport `json:"classes"`
	Total     ClassReport   `json:"total"`
}

// report sums the streams by class. Classes are in the order of their first
// stream.
func (s *stats) report(elapsed time.Duration) *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := newClassSum("total")
	var order []*classSum
	byName := map[string]*classSum{}
	for i, st := range s.streams {
		name := s.workload.Streams[i].Class
		if byName[name] == nil {
			byName[name] = newClassSum(name)
			order = append(order, byName[name])
		}
		byName[name].add(st)
		total.add(st)
	}
	r := &Report{ElapsedMs: elapsed.Milliseconds(), Total: total.report(elapsed)}
	for _, c := range order {
		r.Classes = append(r.Classes, c.report(elapsed))
	}
	return r
}

// classSum adds up the streams of one class.
type classSum struct {
	name string
	streamStats
}

func newClassSum(name string) *classSum {
	return &classSum{name: name, streamStats: streamStats{firstToken: newHistogram(), gap: newHistogram()}}
}

func (c *classSum) add(st streamStats) {
	c.firstToken.Merge(st.firstToken)
	c.gap.Merge(st.gap)
	a, b := &c.counts, st.counts
	a.Offered += b.Offered
	a.Completed += b.Completed
	a.Refused += b.Refused
	a.Failed += b.Failed
	a.Unreachable += b.Unreachable
	a.NotSent += b.NotSent
	a.Attained += b.Attained
	a.Tokens += b.Tokens
	a.AttainedTokens += b.AttainedTokens
	a.WastedTokens += b.WastedTokens
}

func (c *classSum) report(elapsed time.Duration) ClassReport {
	n := c.counts
	return ClassReport{
		Class:        c.name,
		Counts:       n,
		Attainment:   ratio(float64(n.Attained), float64(n.Offered)),
		WastedShare:  ratio(float64(n.WastedTokens), float64(n.Tokens+n.WastedTokens)),
		GoodRequests: ratio(float64(n.Attained), elapsed.Seconds()),
		GoodTokens:   ratio(float64(n.AttainedTokens), elapsed.Seconds()),
		FirstToken:   quantilesOf(c.firstToken),
		TokenGap:     quantilesOf(c.gap),
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		P50: ms(h.ValueAtQuantile(50)),
		P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)),
		Max: ms(h.Max()),
	}
}
