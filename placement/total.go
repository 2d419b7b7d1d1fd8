package placement

import "github.com/jacinththread/jacinththread/backend"

const (
	// defaultPromptSize is the number of tokens of a prompt that are assumed to be read before any was
	// observed, and promptSizeSmoothing the weight of the newest sample in the moving average.
	defaultPromptSize   = 4000.0
	promptSizeSmoothing = 0.05
)

// promptSize is a moving average of the number of tokens of a prompt that servers have to read.
type promptSize struct{ mean float64 }

func (p *promptSize) orDefault() float64 {
	if p.mean == 0 {
		return defaultPromptSize
	}
	return p.mean
}

func (p *promptSize) observe(tokens int) {
	p.mean = p.orDefault() + promptSizeSmoothing*(float64(tokens)-p.orDefault())
}

// TotalLoad is the load of all daemons on several servers.
type TotalLoad struct {
	// Requests is the number of requests at the servers, MemoryTokens the memory that they need at most.
	Requests, MemoryTokens float64
	// Unread is the number of prompts of usual size that the servers have still to read.
	Unread float64
}

// TotalLoad returns the load of all daemons on servers, as far as is known.
func (t *Tracker) TotalLoad(servers []*backend.Server) TotalLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var total TotalLoad
	for _, s := range servers {
		r := t.remote[s.Instance()]
		total.Requests += r.running
		total.MemoryTokens += r.used
		total.Unread += r.backlog.total()
		if st := t.servers[s.Instance()]; st != nil {
			total.Requests += float64(st.running)
			total.MemoryTokens += float64(st.used)
			total.Unread += st.backlog.total()
		}
	}
	total.Unread /= max(1, t.promptSize.orDefault())
	return total
}
