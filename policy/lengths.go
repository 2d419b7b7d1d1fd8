package policy

import "math"

// Output lengths are estimated as quantiles for each class and customer. They are
// unknown in advance and vary by orders of magnitude, so a mean is a poor estimate
// for a single request. A histogram with geometric buckets estimates any quantile
// in constant space. Halving its counts ages out old traffic.

const (
	// lengthBuckets is the number of histogram buckets. The last one also counts
	// all longer outputs.
	lengthBuckets = 48
	// bucketGrowth is the ratio of the bounds of adjacent buckets.
	bucketGrowth = 1.3
	// maxLengthCount is the number of observations at which all counts are halved.
	maxLengthCount = 512
	// minLengthCount is the number of observations of a customer below which the
	// estimate of its class is used instead.
	minLengthCount = 16
	// defaultLength is the estimate in tokens before any observation.
	defaultLength = 256
)

// Lengths estimates output lengths in tokens by class and customer.
type Lengths struct {
	classes   map[string]*histogram
	customers map[lengthKey]*histogram
}

type lengthKey struct{ class, customer string }

// NewLengths returns an estimator without observations.
func NewLengths() *Lengths {
	return &Lengths{classes: map[string]*histogram{}, customers: map[lengthKey]*histogram{}}
}

// Observe records the output length of a finished request.
func (l *Lengths) Observe(class, customer string, tokens uint32) {
	c := l.classes[class]
	if c == nil {
		c = &histogram{}
		l.classes[class] = c
	}
	c.add(float64(tokens))
	key := lengthKey{class, customer}
	h := l.customers[key]
	if h == nil {
		h = &histogram{}
		l.customers[key] = h
	}
	h.add(float64(tokens))
}

// Quantile returns the estimated q-quantile of the output length in tokens. It uses
// the observations of the customer if there are enough, and those of the class
// otherwise.
func (l *Lengths) Quantile(class, customer string, q float64) uint32 {
	if h := l.customers[lengthKey{class, customer}]; h != nil && h.count >= minLengthCount {
		return uint32(h.quantile(q))
	}
	if h := l.classes[class]; h != nil && h.count > 0 {
		return uint32(h.quantile(q))
	}
	return defaultLength
}

// histogram counts values in buckets whose bounds grow geometrically.
type histogram struct {
	counts [lengthBuckets]uint16
	count  uint32
}

func bucketOf(v float64) int {
	if v <= 1 {
		return 0
	}
	return min(lengthBuckets-1, int(math.Ceil(math.Log(v)/math.Log(bucketGrowth))))
}

func (h *histogram) add(v float64) {
	h.counts[bucketOf(v)]++
	h.count++
	if h.count >= maxLengthCount {
		h.halve()
	}
}

func (h *histogram) halve() {
	h.count = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.count += uint32(h.counts[i])
	}
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (h *histogram) quantile(q float64) float64 {
	target := q * float64(h.count)
	seen := 0.0
	for i, c := range h.counts {
		seen += float64(c)
		if seen >= target && seen > 0 {
			return math.Pow(bucketGrowth, float64(i))
		}
	}
	return math.Pow(bucketGrowth, lengthBuckets-1)
}
