package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinththread/jacinththread/httpcheck"
)

const (
	chatPath          = "/v1/chat/completions"
	token             = "bench-token"
	maxLatency        = time.Minute
	significantDigits = 3
	maxIdleConns      = 2000
	terminalEvent     = "data: [DONE]"
)

var client = &http.Client{Transport: httpcheck.NewTransport(&http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns})}

var errIncomplete = errors.New("response ends without the event [DONE]")

// post sends a streaming request and reads the response to its end.
func post(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+chatPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	case !bytes.Contains(text, []byte(terminalEvent)):
		return errIncomplete
	}
	return nil
}

// latencies collects the latencies of successful requests and counts the others.
type latencies struct {
	mu      sync.Mutex
	hist    *hdrhistogram.Histogram
	failed  int
	lastErr error
}

func (l *latencies) record(d time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
		l.lastErr = err
		return
	}
	// Values above the histogram's limit count as the limit.
	_ = l.hist.RecordValue(min(d, maxLatency).Microseconds())
}

// quantile returns a percentile, from 0 to 100, of the latencies.
func (l *latencies) quantile(q float64) time.Duration {
	return time.Duration(l.hist.ValueAtQuantile(q)) * time.Microsecond
}

func (l *latencies) count() int64 { return l.hist.TotalCount() }

// openLoop sends requests at a fixed rate per second without waiting for earlier
// ones to end. Latencies count from the time at which a request is sent.
func openLoop(ctx context.Context, url string, body []byte, rate int, length time.Duration) (*latencies, error) {
	l := &latencies{hist: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
	interval := time.Second / time.Duration(rate)
	start := time.Now()
	var inFlight sync.WaitGroup
	for at := time.Duration(0); at < length; at += interval {
		time.Sleep(time.Until(start.Add(at)))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		sent := time.Now()
		inFlight.Go(func() {
			err := post(ctx, url, body)
			l.record(time.Since(sent), err)
		})
	}
	inFlight.Wait()
	return l, nil
}

// streams counts the results of streams that are read in the background.
type streams struct {
	open     sync.WaitGroup
	complete atomic.Int64
	failed   atomic.Int64
}

func (s *streams) wait() { s.open.Wait() }

// openStreams opens n streams and reads them in the background.
func openStreams(ctx context.Context, url string, body []byte, n int) *streams {
	s := &streams{}
	for range n {
		s.open.Go(func() {
			if err := post(ctx, url, body); err != nil {
				s.failed.Add(1)
				return
			}
			s.complete.Add(1)
		})
	}
	return s
}
