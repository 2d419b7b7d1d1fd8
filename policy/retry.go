package policy

import (
	"math/rand/v2"
	"time"
)

// Retries are limited by a budget for each class rather than by a count per
// request. When backend servers fail, all requests would use their retries at once,
// and the additional load would keep the servers failing. A budget limits the
// retries to a share of the first attempts, so the load grows by at most that share.

const (
	// maxRetryTokens is the maximum number of unused retries that accumulate.
	maxRetryTokens = 10.0

	// backoffBase is the upper bound of the wait before the first retry. It doubles
	// with each retry up to backoffMax.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// RetryBudget is a token bucket that limits the retries of a class to a share of
// its first attempts. The zero value allows no retry.
type RetryBudget struct {
	tokens float64
}

// FirstTry records the first attempt of a request, which adds the given share of a
// retry, 0 to 1, to the budget.
func (b *RetryBudget) FirstTry(ratio float64) {
	b.tokens = min(maxRetryTokens, b.tokens+max(0, ratio))
}

// Allow takes one retry from the budget. It returns false if less than one is left.
func (b *RetryBudget) Allow() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the wait before a retry: exponential backoff with full jitter.
// Attempts are counted from 1.
func Backoff(attempt int, rnd *rand.Rand) time.Duration {
	bound := backoffBase << min(max(attempt-1, 0), 10)
	bound = min(bound, backoffMax)
	return time.Duration(rnd.Int64N(int64(bound))) + time.Millisecond
}
