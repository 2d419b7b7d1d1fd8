package gateway

import (
	"sync"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/policy"
)

const (
	// maxDispatches bounds how often one request is sent to backend servers.
	maxDispatches = 5
	// firstBudget is the number of retries a class has before it has sent any
	// request.
	firstBudget = 3
)

// retryBudgets holds a retry budget per class.
type retryBudgets struct {
	mu      sync.Mutex
	classes map[string]*policy.RetryBudget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{classes: map[string]*policy.RetryBudget{}}
}

// deposit adds what a first try earns.
func (b *retryBudgets) deposit(class *bundle.Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(class).FirstTry(class.RetryBudget)
}

// spend takes one retry and reports whether the budget had one.
func (b *retryBudgets) spend(class *bundle.Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(class).Allow()
}

func (b *retryBudgets) budget(class *bundle.Class) *policy.RetryBudget {
	budget := b.classes[class.Name]
	if budget == nil {
		budget = &policy.RetryBudget{}
		budget.FirstTry(firstBudget)
		b.classes[class.Name] = budget
	}
	return budget
}
