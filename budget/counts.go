package budget

const (
	// buckets is the number of equal intervals into which a window is divided for
	// counting.
	buckets = 20
	// keptBuckets is the number of buckets whose counts are kept.
	keptBuckets = 2 * buckets
	// weight is the part of the ratio that a request earns before and after any moment. A limit on retries in a window
	// counts the requests of that window or of the one before it, whichever are more, which is at least half
	// of both.
	weight = 0.5
)

// counts holds the counts of one service at the local daemon as a ring of buckets.
type counts struct {
	// newest is the number of the newest bucket. Bucket n is at index n modulo keptBuckets.
	newest   int64
	requests [keptBuckets]int
	retries  [keptBuckets]int
}

func index(bucket int64) int { return int(bucket % keptBuckets) }

// outdated reports whether all counts are older than those that are kept at a bucket.
func (c *counts) outdated(bucket int64) bool { return bucket-c.newest >= keptBuckets }

// moveTo makes a bucket the newest one and clears those that are no longer kept.
func (c *counts) moveTo(bucket int64) {
	if c.outdated(bucket) {
		*c = counts{newest: bucket}
	}
	for c.newest < bucket {
		c.newest++
		c.requests[index(c.newest)], c.retries[index(c.newest)] = 0, 0
	}
}

// addRequest counts a request in a bucket, if that is still kept.
func (c *counts) addRequest(bucket int64) {
	if bucket > c.newest-keptBuckets && bucket >= 0 {
		c.requests[index(min(bucket, c.newest))]++
	}
}

// takeRetry counts a retry in the newest bucket and returns true, unless there would be too many since some moment
// within the last window.
//
// For each moment t, the retries since t are at most weight x ratio x the requests since one window before t, plus
// the share. Summed over all daemons, and over all processes that a daemon had, this keeps the limit in the
// window from t on, whatever other processes knew: each request is counted by one process only.
//
// A retry may arrive one bucket after it was granted, and a request may have been sent one bucket before it was
// counted. So retries are counted from one bucket earlier, and requests from one bucket later.
func (c *counts) takeRetry(ratio, share float64) bool {
	requests, retries := 0, 1
	next := c.newest // the bucket whose requests are added next
	for first := c.newest; first >= max(0, c.newest-buckets-1); first-- {
		retries += c.retries[index(first)]
		for ; next >= max(0, first-buckets+3); next-- {
			requests += c.requests[index(next)]
		}
		if float64(retries) > weight*ratio*float64(requests)+share {
			return false
		}
	}
	c.retries[index(c.newest)]++
	return true
}

// requestsInWindow returns the number of requests in the window that ends now.
func (c *counts) requestsInWindow() int { return c.sum(&c.requests) }

// retriesInWindow returns the number of retries in the window that ends now.
func (c *counts) retriesInWindow() int { return c.sum(&c.retries) }

func (c *counts) sum(events *[keptBuckets]int) int {
	n := 0
	for b := max(0, c.newest-buckets+1); b <= c.newest; b++ {
		n += events[index(b)]
	}
	return n
}
