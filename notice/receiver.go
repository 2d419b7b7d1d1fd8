// Package notice takes in what backend servers say of themselves in their responses and hands it to the
// parts that act on it.
package notice

import (
	"net/http"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/holdoff"
	"github.com/jacinththread/jacinththread/ratelimit"
	"github.com/jacinththread/jacinththread/upstream"
)

// Receiver takes in the notices of all responses. It is safe for concurrent use.
type Receiver struct {
	limits   *ratelimit.Limiter
	holdOffs *holdoff.List
	leaving  *LeavingServers
	log      *log.Logger

	mu sync.Mutex
	// last holds the last notice of each server that says anything.
	last map[backend.Instance]backend.Notice
}

// NewReceiver returns a Receiver that hands what servers say to the given parts.
func NewReceiver(l *ratelimit.Limiter, h *holdoff.List, leaving *LeavingServers, logger *log.Logger) *Receiver {
	return &Receiver{limits: l, holdOffs: h, leaving: leaving, log: logger, last: map[backend.Instance]backend.Notice{}}
}

// Receive takes in the notice of a response. A server that rejects a request because it is another instance
// says nothing about the one that was meant.
func (r *Receiver) Receive(o upstream.Observation) {
	if o.Status == http.StatusMisdirectedRequest {
		return
	}
	r.logChange(o)
	r.limits.Observe(o.Server, ratelimit.Statement{
		Limited: o.Notice.Limited, PerSecond: o.Notice.RateLimit, SentAt: o.SentAt, HeardAt: o.HeardAt,
	})
	if o.Notice.Draining {
		r.leaving.report(o.Server, "response", o.HeardAt)
	}
	switch {
	case o.Notice.RetryAfter > 0:
		r.holdOffs.Asked(o.Server, o.Via, o.Notice.RetryAfter, o.HeardAt)
	case o.Status == http.StatusServiceUnavailable && o.Notice.MaxRefusals > 0:
		r.holdOffs.Refused(o.Server, o.Notice.MaxRefusals, o.HeardAt)
	case o.Status != http.StatusServiceUnavailable:
		r.holdOffs.Answered(o.Server, o.SentAt)
	}
}

// logChange logs what a server says if it says something else than before.
func (r *Receiver) logChange(o upstream.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last[o.Server] == o.Notice {
		return
	}
	r.last[o.Server] = o.Notice
	if o.Notice == (backend.Notice{}) {
		delete(r.last, o.Server)
	}
	n := o.Notice
	r.log.Info("backend server changed its notice", "server", o.Server.ID, "status", o.Status, "via", o.Via, "limited", n.Limited,
		"rate_limit", n.RateLimit, "retry_after_ms", n.RetryAfter.Milliseconds(), "draining", n.Draining, "max_refusals", n.MaxRefusals)
}

// AnyFragile reports whether any of the servers says that it fails under many refusals.
func (r *Receiver) AnyFragile(servers []*backend.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.last) == 0 {
		return false
	}
	for _, s := range servers {
		if r.last[s.Instance()].MaxRefusals > 0 {
			return true
		}
	}
	return false
}

// Forget removes the servers that are not known any more.
func (r *Receiver) Forget(isKnown func(backend.Instance) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for server := range r.last {
		if !isKnown(server) {
			delete(r.last, server)
		}
	}
}
