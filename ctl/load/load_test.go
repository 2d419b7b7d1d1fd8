package load

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/ctl/client"
)

const small = `{
	"seed": 7, "duration_ms": 10000, "drain_ms": 5000, "model": "m",
	"streams": [{
		"class": "counter", "rate": 10, "first_token_ms": 500, "token_gap_ms": 50,
		"prompt_tokens": {"median": 5, "max": 5},
		"output_tokens": {"median": 20, "sigma": 1, "max": 60},
	}],
}`

func workload(t *testing.T) *Workload {
	t.Helper()
	w, err := ParseWorkload("w.jsonc", []byte(small))
	assert.NilError(t, err)
	return w
}

// sender is a Sender whose responses have chunks at fixed times.
type sender struct {
	first, gap time.Duration
	chunks     int
	err        error
	// failEvery makes only every n-th request fail with err.
	failEvery int64
	sent      atomic.Int64
}

func (s *sender) Complete(ctx context.Context, _ client.Completion, _ client.Options, receive func(string)) (client.Meta, error) {
	n := s.sent.Add(1)
	fails := s.err != nil && n%max(s.failEvery, 1) == 0
	wait := s.first
	for range s.chunks {
		select {
		case <-ctx.Done():
			return client.Meta{}, ctx.Err()
		case <-time.After(wait):
		}
		receive("x")
		wait = s.gap
	}
	if fails {
		return client.Meta{}, s.err
	}
	return client.Meta{}, nil
}

func runLoad(t *testing.T, w *Workload, s *sender) *Report {
	t.Helper()
	r := &Runner{Workload: w, Sender: s, Tokens: []string{"t"}}
	return r.Run(t.Context())
}

func TestArrivalsDoNotWaitForResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := workload(t)
		planned := len(arrivals(w))
		assert.Assert(t, planned > 70 && planned < 130, "10 a second for 10 s: %d", planned)
		// Each response takes longer than the whole load, so all requests must
		// start before the first one finishes.
		r := runLoad(t, w, &sender{first: 12 * time.Second, chunks: 1})
		assert.Equal(t, r.Total.Offered, planned)
		assert.Equal(t, r.Total.Completed+r.Total.Failed, planned)
		assert.Assert(t, r.Total.Completed > 0 && r.Total.Failed > 0, "requests still running after the drain time are canceled")
		assert.Equal(t, r.Total.Attained, 0)
		assert.Equal(t, r.ElapsedMs, lastArrivalMs(w)+int64(w.DrainMs))
	})
}

func lastArrivalMs(w *Workload) int64 {
	all := arrivals(w)
	return all[len(all)-1].at.Milliseconds()
}

func TestAttainmentCountsBothTargets(t *testing.T) {
	for _, c := range []struct {
		first, gap time.Duration
		attainment float64
	}{
		{500 * time.Millisecond, 50 * time.Millisecond, 1},
		{501 * time.Millisecond, 50 * time.Millisecond, 0},
		{500 * time.Millisecond, 51 * time.Millisecond, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := runLoad(t, workload(t), &sender{first: c.first, gap: c.gap, chunks: 3})
			assert.Equal(t, r.Classes[0].Class, "counter")
			assert.Equal(t, r.Classes[0].Attainment, c.attainment)
			assert.Equal(t, r.Total.Tokens, 3*r.Total.Completed)
			within(t, r.Total.FirstToken.P50, c.first)
			within(t, r.Total.TokenGap.P99, c.gap)
		})
	}
}

// within checks a quantile with the precision of the histogram, three
// significant digits.
func within(t *testing.T, ms float64, want time.Duration) {
	t.Helper()
	wantMs := float64(want) / float64(time.Millisecond)
	assert.Assert(t, ms >= wantMs*0.999 && ms <= wantMs*1.001, "%g ms, want %g", ms, wantMs)
}

func TestIncompleteResponsesAreWastedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := runLoad(t, workload(t), &sender{chunks: 4, err: client.ErrIncomplete, failEvery: 2})
		n := r.Total
		assert.Equal(t, n.Failed, n.Offered/2)
		assert.Equal(t, n.WastedTokens, 4*n.Failed)
		assert.Equal(t, n.Completed+n.Failed, n.Offered)
		assert.Equal(t, n.Attainment, float64(n.Completed)/float64(n.Offered))
	})
}

func TestRefusalsCountAgainstAttainment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := runLoad(t, workload(t), &sender{err: &client.RefusedError{Status: 429}})
		assert.Equal(t, r.Total.Refused, r.Total.Offered)
		assert.Equal(t, r.Total.Attainment, 0.0)
		r = runLoad(t, workload(t), &sender{err: &client.UnreachableError{Err: errors.New("x")}})
		assert.Equal(t, r.Total.Unreachable, r.Total.Offered)
	})
}

func TestEmptyResponsesMissTheFirstTokenTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := runLoad(t, workload(t), &sender{})
		assert.Equal(t, r.Total.Completed, r.Total.Offered)
		assert.Equal(t, r.Total.Attained, 0)
	})
}

func TestOpenRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := workload(t)
		w.MaxInFlight = 1
		r := runLoad(t, w, &sender{first: time.Hour, chunks: 1})
		assert.Equal(t, r.Total.NotSent, r.Total.Offered-1)
	})
}

func TestArrivalsAreTheSameInEveryRun(t *testing.T) {
	w := workload(t)
	first := arrivals(w)
	assert.Assert(t, len(first) > 0)
	again := arrivals(w)
	assert.Equal(t, len(again), len(first))
	for i := range first {
		assert.Equal(t, again[i], first[i])
		assert.Equal(t, len(strings.Fields(prompt(first[i]))), 5)
		assert.Assert(t, first[i].outputTokens <= 60)
	}
}

func TestStreamMayRequestAnotherModel(t *testing.T) {
	w := workload(t)
	assert.Equal(t, w.ModelOf(Stream{}), "m")
	assert.Equal(t, w.ModelOf(Stream{Model: "long"}), "long")
}

func TestWorkloadFindings(t *testing.T) {
	_, err := ParseWorkload("w", []byte(`{
"duration_ms": 0, "rate": 1,
"streams": [{"class": "a", "rate": 0, "prompt_tokens": {"median": 9, "max": 5}, "output_tokens": {"median": 1, "max": 1, "sigma": 9}}]
}`))
	assert.Error(t, err, strings.TrimSpace(`
w:2:16: duration_ms: 0 is not between 1 and 86400000
w:2:19: rate: unknown field
w:3:13: streams[0].model: neither the stream nor the workload names a model
w:3:36: streams[0].rate: 0 is not above 0 and at most 100000
w:3:77: streams[0].prompt_tokens.max: 5 is not between 9 and 1000000
w:3:131: streams[0].output_tokens.sigma: 9 is not between 0 and 3`))
}
