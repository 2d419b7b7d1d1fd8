package gateway

import (
	"sync"

	"github.com/jacinththread/jacinththread/policy"
)

const (
	// costQuantile is the quantile of observed output lengths that is used as the
	// expected output length of a request.
	costQuantile = 0.5
	// promptBytesPerToken is the assumed length of a prompt token.
	promptBytesPerToken = 4
	// promptTokensPerOutputToken is the number of prompt tokens that cost as much
	// as one output token.
	promptTokensPerOutputToken = 32
)

// lengthEstimator estimates output lengths from the completions that this gateway
// served, per class and customer.
type lengthEstimator struct {
	mu      sync.Mutex
	lengths *policy.Lengths
}

func newLengthEstimator() *lengthEstimator { return &lengthEstimator{lengths: policy.NewLengths()} }

// observe records the output length of a completion.
func (e *lengthEstimator) observe(r *request, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lengths.Observe(r.class.Name, r.customer.Name, uint32(tokens))
}

// cost returns the expected cost of a request in output tokens. A maxTokens of zero
// means that the request has no limit.
func (e *lengthEstimator) cost(r *request, maxTokens int) uint32 {
	e.mu.Lock()
	tokens := e.lengths.Quantile(r.class.Name, r.customer.Name, costQuantile)
	e.mu.Unlock()
	if maxTokens > 0 {
		tokens = min(tokens, uint32(maxTokens))
	}
	prompt := len(r.body) / promptBytesPerToken / promptTokensPerOutputToken
	return max(tokens+uint32(prompt), 1)
}
