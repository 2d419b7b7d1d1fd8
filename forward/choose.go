package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/placement"
)

var (
	errNoServer   = errors.New("service has no server left to try")
	errOverloaded = errors.New("servers have more work than the request can wait for")
)

// chooseServer chooses one of the ready servers that were not tried yet, from which the request
// isn't withheld and that may get it now. If there is none, it ends the request and returns nil.
func (q *request) chooseServer(ctx context.Context) *placement.InFlight {
	for {
		untried := q.untriedServers()
		allowed := q.allowed(ctx, untried)
		if len(allowed) == 0 && len(untried) > 0 {
			q.refuseWithheld(ctx)
			return nil
		}
		servers, blocked := q.filterServers(allowed)
		if blocked != nil {
			if !q.awaitOrRefuse(ctx, blocked) {
				return nil
			}
			continue
		}
		req := q.placementRequest()
		inFlight, refusal := q.placeInTurn(servers, req)
		if refusal != nil {
			if mayWait(refusal) && q.waitForSlot(ctx, servers, req) {
				continue
			}
			q.refuseOverloaded(ctx, refusal)
			return nil
		}
		if inFlight == nil {
			q.giveUp(ctx, attemptResult{runState: notRun, err: q.noServerError()})
			return nil
		}
		if q.take(inFlight.Server) {
			q.recordAccepted(req)
			return inFlight
		}
		inFlight.End(time.Now(), placement.Abandoned) // Another request was faster.
	}
}

// take reports whether the server that was chosen may still get the request, and uses up what that takes.
func (q *request) take(s *backend.Server) bool {
	now, instance := time.Now(), s.Instance()
	return q.hasRoom(s, 1) && q.cfg.HoldOffs.Take(instance, now) && q.cfg.Limits.Take(instance, now)
}

// untriedServers returns the ready servers that may serve the request and were not tried yet.
func (q *request) untriedServers() []*backend.Server {
	var untried []*backend.Server
	ready := q.cfg.Catalog.Ready(q.service)
	q.readyServers = len(ready)
	for _, s := range ready {
		if !q.tried[s.Instance()] && q.mayContinue(s) {
			untried = append(untried, s)
		}
	}
	return untried
}

// placementRequest describes the request for the choice of a server.
func (q *request) placementRequest() placement.Request {
	memory := 0
	if s := q.table.Service(q.service); s != nil && s.Engine != nil {
		memory = s.Engine.MemoryTokens
	}
	return placement.Request{
		Memory: memory, MaxWait: q.maxWait(), Urgency: q.urgency,
		Prompt: q.meta.Prompt, TokensIn: q.meta.TokensIn, TokensOut: q.meta.TokensOut, Domain: q.cfg.Domain,
		Target: q.route.Target, Gap: q.route.GapTarget, Service: q.service, Customer: q.customer,
		Tight: q.route.GapTarget > 0 && q.route.GapTarget <= q.table.MinGapTarget(q.service),
	}
}

// maxWait returns how long the request may queue at a server behind earlier
// requests. A request that may already have run elsewhere, or resumes a stream, is
// accepted whatever the queue.
func (q *request) maxWait() time.Duration {
	if q.attempts > 0 || q.origin != nil {
		return 0
	}
	return placement.MaxWait(q.route.Target, q.priority)
}

// refuseOverloaded responds to a request whose queueing time would be too long
// at the best server.
func (q *request) refuseOverloaded(ctx context.Context, r *placement.Refusal) {
	q.cfg.Log.Info("request refused, servers are overloaded", "request_id", q.meta.ID, "service", q.service, "priority", q.priority,
		"reason", r.Reason, "wait_ms", r.Wait.Milliseconds(), "max_wait_ms", r.MaxWait.Milliseconds(), "retry_ms", r.RetryAfter.Milliseconds(),
		"customer", q.customer, "accepted_share", r.AcceptedShare, "waited_ms", q.waited.Milliseconds(),
		"route", q.route.Name, "urgency", q.urgency, "target_ms", q.route.Target.Milliseconds(), "tokens_in", q.meta.TokensIn,
		"server", r.Seen.Chosen, "running", r.Seen.Running, "as_urgent", r.Seen.AtLeastAsUrgent, "memory_tokens", r.Seen.MemoryTokens,
		"would_accept", r.Seen.WouldAccept)
	if ctx.Err() != nil {
		q.giveUp(ctx, attemptResult{runState: notRun, err: errOverloaded})
		return
	}
	q.refuse(http.StatusServiceUnavailable, errOverloaded.Error(), r.RetryAfter)
}
