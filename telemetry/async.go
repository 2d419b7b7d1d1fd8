package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxLogQueueBytes limits the total size of queued log lines.
	maxLogQueueBytes = 256 << 10
	// logBytesPerSecond is the rate limit of the log. It is also the burst size:
	// up to one second's worth of unused rate accumulates.
	logBytesPerSecond = 256 << 10
	// logFlushDelay is how long the writer waits for more lines before it
	// writes the queue.
	logFlushDelay = 50 * time.Millisecond
)

// AsyncWriter writes log lines from a goroutine of its own. Write never waits
// for the output: lines that exceed the queue or the rate limit are dropped and
// counted.
type AsyncWriter struct {
	out     io.Writer
	wake    chan struct{}
	done    chan struct{}
	dropped metrics.Counter

	mu         sync.Mutex
	queue      []byte
	unreported int       // lines dropped since the last flush
	budget     float64   // bytes left in the token bucket
	lastRefill time.Time // time of the last refill of budget
	closed     bool
}

// NewAsyncWriter starts a writer to out. Its Close must be called.
func NewAsyncWriter(out io.Writer, registry metrics.Registry) *AsyncWriter {
	w := &AsyncWriter{
		out: out, wake: make(chan struct{}, 1), done: make(chan struct{}),
		dropped: metrics.GetOrRegisterCounter("telemetry.dropped_lines", registry),
		budget:  logBytesPerSecond, lastRefill: time.Now(),
	}
	go w.run()
	return w
}

// Write queues a line or drops it. It always reports success.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.admit(len(line)) {
		w.unreported++
		w.dropped.Inc(1)
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// admit reports whether a line of n bytes fits into the queue and the rate
// limit. If so, it takes the line from the budget.
func (w *AsyncWriter) admit(n int) bool {
	now := time.Now()
	w.budget = min(logBytesPerSecond, w.budget+logBytesPerSecond*now.Sub(w.lastRefill).Seconds())
	w.lastRefill = now
	if float64(n) > w.budget || len(w.queue)+n > maxLogQueueBytes {
		return false
	}
	w.budget -= float64(n)
	return true
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(logFlushDelay)
		w.flush()
	}
	w.flush()
}

// flush writes the queue, followed by a line that reports how many lines were
// dropped since the last flush.
func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines, dropped := w.queue, w.unreported
	w.queue, w.unreported = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		w.out.Write(lines) // There is nowhere to report that the log cannot be written.
	}
}

// Close writes the queued lines and ends the goroutine. Lines written after it
// are dropped.
func (w *AsyncWriter) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	w.mu.Unlock()
	close(w.wake)
	<-w.done
	return nil
}
