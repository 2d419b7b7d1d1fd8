package policy

import "time"

// The time to the first token is predicted for classes that refuse late requests.
// A request granted too late for its prompt to be processed would miss its target
// and hold a slot that another request could have used in time.

const (
	// firstTokenSmoothing is the weight of a new sample in the moving average.
	firstTokenSmoothing = 0.05
	// minFirstTokenSamples is the number of samples below which nothing is
	// predicted.
	minFirstTokenSamples = 20
	// maxFirstTokenShare is the maximum share of the target that is predicted.
	maxFirstTokenShare = 0.8
)

// firstTokenPredictor predicts the time from dispatch to the first token for one
// class.
type firstTokenPredictor struct {
	mean    float64
	samples int
}

func (f *firstTokenPredictor) observe(d time.Duration) {
	if d <= 0 {
		return
	}
	f.samples++
	weight := max(firstTokenSmoothing, 1/float64(f.samples))
	f.mean += weight * (d.Seconds() - f.mean)
}

// predict returns the predicted time, or zero if there are too few samples or no
// target. It is capped at maxFirstTokenShare of the target: otherwise slow servers
// would cause all requests of the class to be refused.
func (f *firstTokenPredictor) predict(target time.Duration) time.Duration {
	if f.samples < minFirstTokenSamples || target <= 0 {
		return 0
	}
	return min(seconds(f.mean), time.Duration(maxFirstTokenShare*float64(target)))
}
