package placement

import "time"

// Servers are avoided if their recent streams had long pauses between events.
// Some servers are slower than others, and each prompt that is read extends the
// pauses at its server. A request with a tight gap objective misses it at such a
// server even if it starts immediately. The longest recent pause indicates this
// regardless of the cause.

const (
	// pauseWindow is the length of a window. A pause counts until the end of
	// the window after the one it was observed in, so for one to two windows.
	pauseWindow = 20 * time.Second
	// pauseCostTokens is the cost of a server whose longest pause is twice the
	// gap that the request allows, or longer.
	pauseCostTokens = 150000
	// maxCountedPause is the longest pause that is attributed to the speed of
	// the server. Longer pauses are caused by faults and are ignored.
	maxCountedPause = time.Second
)

// pauseHistory holds the longest pause between events in the current and the
// previous window.
type pauseHistory struct {
	current, previous time.Duration
	windowStart       time.Time
}

// observe records a pause between two events.
func (p *pauseHistory) observe(now time.Time, pause time.Duration) {
	p.rotate(now)
	if pause <= maxCountedPause {
		p.current = max(p.current, pause)
	}
}

// longest returns the longest pause of the current and the previous window.
func (p *pauseHistory) longest(now time.Time) time.Duration {
	p.rotate(now)
	return max(p.current, p.previous)
}

// rotate starts a new window if the current one is over.
func (p *pauseHistory) rotate(now time.Time) {
	switch age := now.Sub(p.windowStart); {
	case age < pauseWindow:
		return
	case age < 2*pauseWindow:
		p.previous = p.current
	default:
		p.previous = 0
	}
	p.current, p.windowStart = 0, now
}

// pauseCost returns the cost, in tokens, of a server whose recent pauses exceed
// the gap that the request allows. The cost grows with the excess, so that if
// all servers exceed it, those with the shortest pauses are still preferred.
func (c *Candidate) pauseCost(req *Request) float64 {
	if req.Gap <= 0 || c.LongestPause <= req.Gap {
		return 0
	}
	return pauseCostTokens * min(1, float64(c.LongestPause)/float64(req.Gap)-1)
}
