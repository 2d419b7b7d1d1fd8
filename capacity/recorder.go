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

// outputPathEnv is the environment variable with the path of the file that the
// slopes are written to. TestSlopes is skipped without it, since a run takes
// minutes and its results depend on the machine.
const outputPathEnv = "CAPACITY_OUT"

// recorder collects the series of a run.
type recorder struct {
	series []Series
}

// add appends a point to the series with the ID of s, which it creates if there
// is none.
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

// cpuTime returns the user and system CPU time of the process.
func cpuTime(t testing.TB) time.Duration {
	t.Helper()
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory collects garbage and returns the bytes of live heap objects and of
// stacks.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTimeRepeats is the number of times a CPU time is measured. The minimum is
// used, since other work on the machine can only increase it.
const cpuTimeRepeats = 3

// cpuNanosPerCall returns the CPU time of one call of f in nanoseconds. The first
// call is not measured.
func cpuNanosPerCall(t testing.TB, calls int, f func()) float64 {
	t.Helper()
	f()
	least := math.Inf(1)
	for range cpuTimeRepeats {
		runtime.GC()
		before := cpuTime(t)
		for range calls {
			f()
		}
		least = min(least, float64(cpuTime(t)-before)/float64(calls))
	}
	return least
}

// loadAverage returns the machine's load average over the last minute.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(b))[0]
}
