package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// logQueueBytes bounds the log lines that wait to be written.
	logQueueBytes = 256 << 10
	// logBytesPerSecond bounds the volume of the log; short bursts may use what
	// was not written in the second before.
	logBytesPerSecond = 256 << 10
	// logFlush is how long lines wait to be written together.
	logFlush = 50 * time.Millisecond
)

// AsyncWriter writes log lines from a goroutine of its own. Write never blocks:
// lines beyond the queue or the rate are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	wake    chan struct{}
	done    chan struct{}
	dropped metrics.Counter

	mu      sync.Mutex
	queue   []byte
	missing int
	budget  float64
	filled  time.Time
	closed  bool
}

// NewAsyncWriter starts a writer in front of out.
func NewAsyncWriter(out io.Writer, registry metrics.Registry) *AsyncWriter {
	w := &AsyncWriter{
		out: out, wake: make(chan struct{}, 1), done: make(chan struct{}),
		dropped: metrics.GetOrRegisterCounter("telemetry.dropped_lines", registry),
		budget:  logBytesPerSecond, filled: time.Now(),
	}
	go w.run()
	return w
}

// Write queues a line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.admit(len(line)) {
		w.missing++
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

// admit takes a line from the budget.
func (w *AsyncWriter) admit(n int) bool {
	now := time.Now()
	w.budget = min(logBytesPerSecond, w.budget+logBytesPerSecond*now.Sub(w.filled).Seconds())
	w.filled = now
	if float64(n) > w.budget || len(w.queue)+n > logQueueBytes {
		return false
	}
	w.budget -= float64(n)
	return true
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(logFlush)
		w.flush()
	}
	w.flush()
}

func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines, missing := w.queue, w.missing
	w.queue, w.missing = nil, 0
	w.mu.Unlock()
	if missing > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", missing)
	}
	if len(lines) > 0 {
		w.out.Write(lines) // A log that is not written has nowhere to be reported.
	}
}

// Close writes what is queued. Later lines are dropped.
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
