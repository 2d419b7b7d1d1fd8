package policy

import (
	"math/rand/v2"
	"time"
)

// Why a budget and not a count per request: when backend servers fail, every
// request would use its retries at once and the added load would keep them
// failing. A budget ties the retries of a class to its first tries, so load
// grows by at most the budgeted share.

const (
	// maxRetryTokens bounds the retries saved up in quiet times.
	maxRetryTokens = 10.0

	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// RetryBudget limits the retries of a class to a share of its first tries. The
// zero value allows none.
type RetryBudget struct {
	tokens float64
}

// FirstTry records a first try; ratio is the retries earned by it, 0 to 1.
func (b *RetryBudget) FirstTry(ratio float64) {
	b.tokens = min(maxRetryTokens, b.tokens+max(0, ratio))
}

// Allow takes one retry from the budget, or reports false.
func (b *RetryBudget) Allow() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the wait before a retry, counted from 1: a random part of
// an exponentially growing bound.
func Backoff(attempt int, rnd *rand.Rand) time.Duration {
	bound := backoffBase << min(max(attempt-1, 0), 10)
	bound = min(bound, backoffMax)
	return time.Duration(rnd.Int64N(int64(bound))) + time.Millisecond
}
