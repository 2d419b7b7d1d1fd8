package metering

import "time"

const (
	// collectTime is how long a daemon that has just taken over waits for the counts that the others keep.
	collectTime = 2500 * time.Millisecond
	// reportReserve is the time before a window is overdue that is left for storing and sending its report.
	reportReserve = time.Second
)

// Windows describes the windows in which usage is reported.
type Windows struct {
	// Length is the length of a window. Window k begins k times Length after the start of Unix time. Zero means
	// that usage isn't reported.
	Length time.Duration
	// Due is how long after its end a window has to be reported.
	Due time.Duration
}

// NewCounter returns a counter that keeps its counts as long as a leader may need them.
func (w Windows) NewCounter(clock func() time.Duration) *Counter { return newCounter(clock, w.kept()) }

// end returns the end of a window in Unix time.
func (w Windows) end(window int64) time.Duration { return time.Duration(window+1) * w.Length }

// open returns the first and the last window that have ended and are not overdue at a time.
func (w Windows) open(now time.Duration) (first, last int64) {
	return int64((now - w.Due) / w.Length), int64(now/w.Length) - 1
}

// decideBy returns when a window is decided even if counts of some daemons are missing.
func (w Windows) decideBy(window int64) time.Duration { return w.end(window) + w.Due/2 }

// kept is how long daemons keep their counts: until a leader that took over late has decided.
func (w Windows) kept() time.Duration { return w.Length + w.Due }

// windowState is what the leader knows when it considers a window. Times are Unix times.
type windowState struct {
	now time.Duration
	// coveredSince is since when any daemon counts.
	coveredSince time.Duration
	// missing is the number of live daemons whose counts are not known up to the end of the window.
	missing int
	// collecting is for how long the leader has received counts.
	collecting time.Duration
}

// decision is what the leader does about a window.
type decision uint8

const (
	// wait: counts are missing that may still come.
	wait decision = iota
	// decide: the counts that are known are the window's.
	decide
	// skip: no daemon counted in the window.
	skip
)

// consider decides about a window that has ended. It answers daemons that fall silent, or leaders that change, right before a
// window is due.
func (w Windows) consider(window int64, s windowState) decision {
	switch {
	case w.end(window) <= s.coveredSince:
		return skip
	case s.missing == 0:
		return decide
	case s.now >= w.decideBy(window) && s.collecting >= collectTime:
		return decide
	case s.now >= w.end(window)+w.Due-reportReserve:
		return decide
	}
	return wait
}
