package gateway

import (
	"sync"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/policy"
)

const (
	// maxDispatches limits how often a request is sent to backend servers.
	maxDispatches = 5
	// initialRetryBudget is the number of retries that a class may use before its
	// requests have earned any.
	initialRetryBudget = 3
)

// retryBudgets holds the retry budget of each class.
type retryBudgets struct {
	mu      sync.Mutex
	classes map[string]*policy.RetryBudget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{classes: map[string]*policy.RetryBudget{}}
}

// deposit adds the share of a retry that the first attempt of a request earns.
func (b *retryBudgets) deposit(class *bundle.Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(class).FirstTry(class.RetryBudget)
}

// spend takes one retry from the budget and reports whether one was available.
func (b *retryBudgets) spend(class *bundle.Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(class).Allow()
}

// budget returns the budget of a class and creates it on first use. The caller
// must hold b.mu.
func (b *retryBudgets) budget(class *bundle.Class) *policy.RetryBudget {
	budget := b.classes[class.Name]
	if budget == nil {
		budget = &policy.RetryBudget{}
		budget.FirstTry(initialRetryBudget)
		b.classes[class.Name] = budget
	}
	return budget
}
