package forward

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jacinththread/jacinththread/backend"
)

const (
	// maxTrialWait is the longest time until a server may be tried again for which a request waits.
	maxTrialWait = 100 * time.Millisecond
	// holdOffJitter spreads the return of callers over some time.
	holdOffJitter = 200 * time.Millisecond
)

var errHeldOff = errors.New("servers asked for no requests for some time")

// notHeldOff is the filter for servers that asked for no requests for some time.
func (q *request) notHeldOff(servers []*backend.Server) ([]*backend.Server, obstacle) {
	now := time.Now()
	var open []*backend.Server
	first := time.Duration(-1)
	for _, s := range servers {
		wait := q.cfg.HoldOffs.Wait(s.Instance(), now)
		if wait == 0 {
			open = append(open, s)
		}
		if first < 0 || wait < first {
			first = wait
		}
	}
	o := obstacle{err: errHeldOff, retryAfter: first + rand.N(holdOffJitter)}
	if first <= maxTrialWait {
		o.wait = max(minPermitWait, first)
	}
	return open, o
}
