package gateway

import (
	"sync"

	"github.com/jacinththread/jacinththread/bundle"
)

const (
	// maxDispatches bounds how often one request is sent to backend servers.
	maxDispatches = 5
	// maxBudget bounds the retries a class can save up.
	maxBudget = 20.0
	// firstBudget lets a class retry before it has sent many requests.
	firstBudget = 3.0
)

// retryBudgets limits retries to a share of first tries, per class, so that
// retries never multiply an overload.
type retryBudgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{tokens: map[string]float64{}} }

// deposit adds what a first try earns.
func (b *retryBudgets) deposit(class *bundle.Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[class.Name] = min(b.balance(class.Name)+class.RetryBudget, maxBudget)
}

// spend takes one retry and reports whether the budget had one.
func (b *retryBudgets) spend(class *bundle.Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.balance(class.Name)
	if left < 1 {
		return false
	}
	b.tokens[class.Name] = left - 1
	return true
}

func (b *retryBudgets) balance(class string) float64 {
	if v, ok := b.tokens[class]; ok {
		return v
	}
	return firstBudget
}
