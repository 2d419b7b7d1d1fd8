package gateway

import (
	"sync"

	"github.com/jacinththread/jacinththread/policy"
)

const (
	// costQuantile is the quantile of output lengths that stands for the work of
	// a request.
	costQuantile = 0.5
	// promptBytesPerToken converts prompt bytes to tokens of work.
	promptBytesPerToken = 4
	// promptDiscount is how many prompt tokens cost as much as one generated.
	promptDiscount = 32
)

// lengthTable estimates output lengths from the answers of this gateway.
type lengthTable struct {
	mu      sync.Mutex
	lengths *policy.Lengths
}

func newLengthTable() *lengthTable { return &lengthTable{lengths: policy.NewLengths()} }

func (t *lengthTable) observe(r *request, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lengths.Observe(r.class.Name, r.customer.Name, uint32(tokens))
}

// cost returns the expected work of a request, in generated tokens.
func (t *lengthTable) cost(r *request, maxTokens int) uint32 {
	t.mu.Lock()
	tokens := t.lengths.Quantile(r.class.Name, r.customer.Name, costQuantile)
	t.mu.Unlock()
	if maxTokens > 0 {
		tokens = min(tokens, uint32(maxTokens))
	}
	prompt := len(r.body) / promptBytesPerToken / promptDiscount
	return max(tokens+uint32(prompt), 1)
}
