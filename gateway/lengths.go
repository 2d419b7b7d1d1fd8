package gateway

import "sync"

const (
	// defaultTokens is the estimate before any answer was seen.
	defaultTokens = 256
	// lengthGain is the weight of a new observation.
	lengthGain = 1.0 / 16
	// promptBytesPerToken converts prompt bytes to tokens of work.
	promptBytesPerToken = 4
	// promptDiscount is how many prompt tokens cost as much as one generated.
	promptDiscount = 32
)

// lengthKey groups answers whose lengths are alike.
type lengthKey struct{ class, customer string }

// lengthTable estimates output lengths by class and customer.
type lengthTable struct {
	mu   sync.Mutex
	mean map[lengthKey]float64
}

func newLengthTable() *lengthTable { return &lengthTable{mean: map[lengthKey]float64{}} }

func (t *lengthTable) observe(class, customer string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range []lengthKey{{class, customer}, {class, ""}} {
		m, ok := t.mean[k]
		if !ok {
			t.mean[k] = float64(tokens)
			continue
		}
		t.mean[k] = m + (float64(tokens)-m)*lengthGain
	}
}

// estimate returns the expected output length in tokens.
func (t *lengthTable) estimate(class, customer string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range []lengthKey{{class, customer}, {class, ""}} {
		if m, ok := t.mean[k]; ok {
			return m
		}
	}
	return defaultTokens
}

// cost returns the expected work of a request, in generated tokens.
func (t *lengthTable) cost(r *request, maxTokens int) uint32 {
	tokens := t.estimate(r.class.Name, r.customer.Name)
	if maxTokens > 0 {
		tokens = min(tokens, float64(maxTokens))
	}
	prompt := float64(len(r.body)) / promptBytesPerToken / promptDiscount
	return uint32(max(tokens+prompt, 1))
}
