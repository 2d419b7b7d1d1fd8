package capacity

import (
	"math"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outputEnv names the file that the slopes are written to. Without it nothing
// is measured: the run takes minutes and its figures belong to the machine.
const outputEnv = "CAPACITY_OUT"

// recorder gathers the series of a run.
type recorder struct {
	series []Series
}

// add appends a point to the series of an id.
func (r *recorder) add(s Series, size, value float64) {
	for i := range r.series {
		if r.series[i].ID == s.ID {
			r.series[i].Points = append(r.series[i].Points, Point{size, value})
			return
		}
	}
	s.Points = []Point{{size, value}}
	r.series = append(r.series, s)
}

// cpuTime returns the processor time of the process.
func cpuTime(t testing.TB) time.Duration {
	t.Helper()
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the bytes of live heap and of stacks.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// repeats is how often a processor time is measured. The least counts, since
// other work on the machine only ever adds to it.
const repeats = 3

// perCall returns the processor time of one call in nanoseconds.
func perCall(t testing.TB, calls int, f func()) float64 {
	t.Helper()
	f()
	least := math.Inf(1)
	for range repeats {
		runtime.GC()
		before := cpuTime(t)
		for range calls {
			f()
		}
		least = min(least, float64(cpuTime(t)-before)/float64(calls))
	}
	return least
}

// load is the machine's load average at the time of the run.
func load() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(b))[0]
}
