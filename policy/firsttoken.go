package policy

import "time"

// Why the first token is predicted: a class that refuses late requests gains
// nothing from a grant that leaves no time to read the prompt. The request
// would miss its target and hold a slot that another could have used in time.

const (
	firstTokenSmoothing = 0.05
	// minFirstTokens is the number of observations before a prediction is made.
	minFirstTokens = 20
	// firstTokenBound is the most of a target that a prediction takes.
	firstTokenBound = 0.8
)

// firstTokens predicts the time from dispatch to the first token of a class.
type firstTokens struct {
	mean    float64
	samples int
}

func (f *firstTokens) observe(d time.Duration) {
	if d <= 0 {
		return
	}
	f.samples++
	weight := max(firstTokenSmoothing, 1/float64(f.samples))
	f.mean += weight * (d.Seconds() - f.mean)
}

// expected returns the predicted time, or zero while too little is known. It
// never exceeds firstTokenBound of the target, so that slow servers alone do not
// shut a class out.
func (f *firstTokens) expected(target time.Duration) time.Duration {
	if f.samples < minFirstTokens || target <= 0 {
		return 0
	}
	return min(seconds(f.mean), time.Duration(firstTokenBound*float64(target)))
}
