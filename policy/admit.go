package policy

import "time"

// Why refuse early: a caller that is told at once can go elsewhere, and work
// that would miss its target only delays others. The estimate counts the work
// that is served first, at the speed observed, with the starvation allowance
// subtracted from the slots, so that an admitted request stays feasible when
// the allowance is spent.

const (
	// loadSmoothing is the weight of a new sample in the moving averages.
	loadSmoothing = 0.05
	// minLoadSamples is the number of finished requests before the estimate is
	// trusted to refuse.
	minLoadSamples = 20
	// initialKept is the assumed share of queued work that is run here: each
	// request waits at several schedulers and runs at one.
	initialKept = 0.5

	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 2 * time.Minute
)

// Load estimates waits from what finished.
type Load struct {
	// perToken is the slot time of a token of cost, in seconds.
	perToken float64
	// service is the mean slot time of a request, in seconds.
	service float64
	samples int
	// kept is the share of queued work that is run by this scheduler.
	kept float64
}

// NewLoad returns an estimate without observations.
func NewLoad() Load { return Load{kept: initialKept} }

// Finished records the slot time and estimated cost of a request that ran.
func (l *Load) Finished(took time.Duration, cost uint32) {
	l.samples++
	if cost == 0 {
		cost = 1
	}
	seconds := took.Seconds()
	if l.samples == 1 {
		l.service = seconds
		l.perToken = seconds / float64(cost)
		return
	}
	l.service += loadSmoothing * (seconds - l.service)
	// The ratio of the averages weighs each request by its work.
	l.perToken += loadSmoothing * (seconds - l.perToken*float64(cost)) / l.meanCost()
}

func (l *Load) meanCost() float64 {
	if l.perToken <= 0 {
		return 1
	}
	return max(1, l.service/l.perToken)
}

// Left records that a queued request left the queue: granted and used here, or
// withdrawn because it ran elsewhere or its caller went away.
func (l *Load) Left(used bool) {
	x := 0.0
	if used {
		x = 1
	}
	l.kept += loadSmoothing * (x - l.kept)
}

// Trusted reports whether enough requests finished to refuse by the estimate.
func (l *Load) Trusted() bool { return l.samples >= minLoadSamples }

// Service returns the mean slot time of a request.
func (l *Load) Service() time.Duration { return seconds(l.service) }

// Overdue reports whether a request runs far longer than its cost explains.
func (l *Load) Overdue(age time.Duration, cost uint32) bool {
	expected := max(float64(cost)*l.perToken, l.service)
	return l.Trusted() && cost > 0 && age.Seconds() > overdueRatio*expected
}

// Wait estimates how long a request waits behind the given work, in tokens,
// when no slot is free.
func (l *Load) Wait(ahead float64, slots int) time.Duration {
	if slots <= 0 {
		return maxRetryAfter
	}
	usable := float64(slots) * (1 - allowanceShare)
	queued := ahead * l.kept * l.perToken
	// A slot frees after service/slots on average.
	return min(seconds((queued+l.service)/usable), maxRetryAfter)
}

// RetryAfter is when a request that would wait so long may come back: once the
// present queue has drained to what its target allows.
func RetryAfter(wait, target time.Duration) time.Duration {
	return min(max(wait-target, minRetryAfter), maxRetryAfter)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
