package policy

import "time"

// Requests that are expected to miss their target are refused on arrival: the
// caller can try elsewhere at once, and the work would only delay other requests.
// The wait estimate is the work served first divided by the observed throughput.
// The starvation allowance is subtracted from the slots, so that an admitted
// request stays feasible when the allowance is used.

const (
	// loadSmoothing is the weight of a new sample in the moving averages.
	loadSmoothing = 0.05
	// minLoadSamples is the number of finished requests below which no request is
	// refused because of the estimate.
	minLoadSamples = 20
	// initialRunShare is the initial estimate of Load.runShare. It is below one
	// because each request waits at several schedulers and runs at one.
	initialRunShare = 0.5

	// minRetryAfter and maxRetryAfter bound the retry delay of refused requests.
	// maxRetryAfter also bounds the estimated wait.
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 2 * time.Minute
)

// Load estimates waits from the slot times of finished requests.
type Load struct {
	// perToken is the mean slot time per token of cost, in seconds.
	perToken float64
	// service is the mean slot time of a request, in seconds.
	service float64
	samples int
	// runShare is the share of the queued requests that run at this scheduler.
	runShare float64
}

// NewLoad returns a Load without samples.
func NewLoad() Load { return Load{runShare: initialRunShare} }

// Finished records the slot time and the estimated cost of a finished request.
func (l *Load) Finished(slotTime time.Duration, cost uint32) {
	l.samples++
	if cost == 0 {
		cost = 1
	}
	seconds := slotTime.Seconds()
	if l.samples == 1 {
		l.service = seconds
		l.perToken = seconds / float64(cost)
		return
	}
	l.service += loadSmoothing * (seconds - l.service)
	// Dividing by the mean cost weights each sample by the cost of its request.
	l.perToken += loadSmoothing * (seconds - l.perToken*float64(cost)) / l.meanCost()
}

func (l *Load) meanCost() float64 {
	if l.perToken <= 0 {
		return 1
	}
	return max(1, l.service/l.perToken)
}

// RecordLeft records that a request left the queue. used is set if the request ran
// here, and not if it ran elsewhere or was canceled.
func (l *Load) RecordLeft(used bool) {
	x := 0.0
	if used {
		x = 1
	}
	l.runShare += loadSmoothing * (x - l.runShare)
}

// Trusted reports whether there are enough samples to refuse requests by the
// estimate.
func (l *Load) Trusted() bool { return l.samples >= minLoadSamples }

// Service returns the mean slot time of a request.
func (l *Load) Service() time.Duration { return seconds(l.service) }

// Overdue reports whether a request has been running for more than overdueRatio
// times the time expected for its cost.
func (l *Load) Overdue(age time.Duration, cost uint32) bool {
	expected := max(float64(cost)*l.perToken, l.service)
	return l.Trusted() && cost > 0 && age.Seconds() > overdueRatio*expected
}

// Wait estimates how long a request waits behind the given work, in tokens, when
// no slot is free.
func (l *Load) Wait(ahead float64, slots int) time.Duration {
	if slots <= 0 {
		return maxRetryAfter
	}
	usable := float64(slots) * (1 - allowanceShare)
	queued := ahead * l.runShare * l.perToken
	// On average a slot becomes free every service/slots.
	return min(seconds((queued+l.service)/usable), maxRetryAfter)
}

// RetryAfter returns the delay after which a refused request may be retried: the
// time in which the current queue drains until the wait is within the target.
func RetryAfter(wait, target time.Duration) time.Duration {
	return min(max(wait-target, minRetryAfter), maxRetryAfter)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
