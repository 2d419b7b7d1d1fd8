package placement

import "time"

// Why servers are avoided for their pauses: some servers work more slowly than
// others, and each prompt that is read stretches the pauses between events there.
// A request whose events must come in quick succession is late at such a server
// even though it begins at once. The longest pause that a server made lately
// tells this whatever the cause.

const (
	// pauseWindow is the time over which the longest pause is kept: at least one
	// window and at most two.
	pauseWindow = 20 * time.Second
	// pauseTokens is the cost of a server whose longest pause is twice what the
	// request allows.
	pauseTokens = 150000
	// longestPause bounds the pauses that tell a server's pace; longer ones come
	// from faults.
	longestPause = time.Second
)

// pauses keeps the longest pause between events of the present and of the last
// window.
type pauses struct {
	present, last time.Duration
	begun         time.Time
}

// observe takes in a pause between two events.
func (p *pauses) observe(now time.Time, pause time.Duration) {
	p.turn(now)
	if pause <= longestPause {
		p.present = max(p.present, pause)
	}
}

// longest returns the longest pause seen lately.
func (p *pauses) longest(now time.Time) time.Duration {
	p.turn(now)
	return max(p.present, p.last)
}

// turn begins a new window when the present one is over.
func (p *pauses) turn(now time.Time) {
	switch age := now.Sub(p.begun); {
	case age < pauseWindow:
		return
	case age < 2*pauseWindow:
		p.last = p.present
	default:
		p.last = 0
	}
	p.present, p.begun = 0, now
}

// pauseCost is the cost, in tokens, of a server that lately paused longer than
// the request allows. It grows with the excess: if all servers pause too long,
// those that do so least are still preferred.
func (c *Candidate) pauseCost(want *Want) float64 {
	if want.Gap <= 0 || c.Pause <= want.Gap {
		return 0
	}
	return pauseTokens * min(1, float64(c.Pause)/float64(want.Gap)-1)
}
