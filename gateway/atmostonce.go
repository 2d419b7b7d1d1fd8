package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/dispatch"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/reservation"
)

const (
	// recordTimeout limits the time to record the outcome of a call.
	recordTimeout = 5 * time.Second
	// claimRetryAfter is the Retry-After while the store is unavailable or
	// another attempt is running.
	claimRetryAfter = 2 * time.Second
	// maxResends and resendDelay apply when a call is resent to a server that
	// deduplicates by Idempotency-Key, after its response was lost.
	maxResends  = 2
	resendDelay = 200 * time.Millisecond
)

// runAtMostOnce runs a call that must not run twice. It acquires the slot before
// the claim, to keep the time between claim and dispatch short.
func (g *Gateway) runAtMostOnce(w http.ResponseWriter, req *request, service *bundle.Service, call dispatch.Call, spec reservation.Spec) error {
	ctx := req.http.Context()
	slot, err := g.acquire(ctx, req, spec)
	if err != nil {
		return callError(err)
	}
	key := claims.Key{Customer: req.customer.Name, Service: service.Name, Token: req.idempotencyKey}
	attempt, err := g.cfg.Claims.Begin(ctx, key, callDigest(call))
	if err != nil {
		releaseUnused(slot)
		return err
	}
	if attempt.Verdict != claims.Run {
		releaseUnused(slot)
		return respondWithoutRunning(w, req, attempt)
	}
	// Holding the claim means that no earlier attempt with this key was run.
	req.runState = NotRun
	c := &atMostOnceCall{gateway: g, req: req, service: service, call: call, spec: spec, attempt: attempt}
	return c.run(ctx, w, slot)
}

// respondWithoutRunning returns the recorded response or the error for a call that
// this attempt must not run.
func respondWithoutRunning(w http.ResponseWriter, req *request, a claims.Attempt) error {
	switch a.Verdict {
	case claims.Replay:
		return replay(w, req, a.Response)
	case claims.InProgress:
		return &Error{
			Status: http.StatusConflict, Code: "in_progress", Run: InProgress,
			Message: "a call with this key is running", RetryAfter: claimRetryAfter,
		}
	case claims.Unknown:
		return &Error{
			Status: http.StatusConflict, Code: "outcome_unknown", Run: Unknown,
			Message: "a call with this key was sent and its outcome is not known; it is not run again",
		}
	case claims.Mismatch:
		return &Error{
			Status: http.StatusUnprocessableEntity, Code: "key_reused", Run: NotRun,
			Message: "the key was used before with another request",
		}
	}
	return &Error{
		Status: http.StatusServiceUnavailable, Code: "store_unavailable", Run: Unknown,
		Message:    "this attempt was not run; whether an earlier one with the same key was is not known now",
		RetryAfter: claimRetryAfter,
	}
}

// replay writes the recorded response of an earlier attempt.
func replay(w http.ResponseWriter, req *request, a *claims.Response) error {
	if a.Truncated {
		return &Error{
			Status: http.StatusConflict, Code: "answer_not_kept", Run: Ran,
			Message: "the call ran; its answer was too long to be kept",
		}
	}
	h := http.Header{}
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	return writeResponse(w, req, &dispatch.Response{Status: a.Status, Header: h, Body: a.Body})
}

// atMostOnceCall is a call whose claim this attempt holds.
type atMostOnceCall struct {
	gateway *Gateway
	req     *request
	service *bundle.Service
	call    dispatch.Call
	spec    reservation.Spec
	attempt claims.Attempt
}

// run dispatches the call until a server has run it, its outcome is unknown, or no
// further dispatch is allowed. If the caller disconnects, no further dispatch
// starts, but a running one is not canceled.
func (c *atMostOnceCall) run(ctx context.Context, w http.ResponseWriter, slot *reservation.Slot) error {
	for n := 1; ; n++ {
		if err := c.checkStart(ctx, slot); err != nil {
			releaseUnused(slot)
			return c.release(err)
		}
		resp, err := c.gateway.dispatchCall(context.WithoutCancel(ctx), c.req, slot, c.call)
		if err == nil {
			return c.recordAndRespond(w, resp)
		}
		if !dispatch.NotRun(err) {
			return c.resend(ctx, w, slot.Server)
		}
		if n >= maxDispatches {
			return c.release(callError(err))
		}
		c.gateway.metrics.retried.Inc(1)
		c.spec.ExcludedServers = append(c.spec.ExcludedServers, slot.Server.Name)
		slot, err = c.gateway.acquire(ctx, c.req, c.spec)
		if err != nil {
			return c.release(callError(err))
		}
	}
}

// resend sends the call again to a server that deduplicates by Idempotency-Key,
// after the first response was lost. The outcome remains unknown if the server
// does not deduplicate, does not respond, or responds with 409 because it has
// already seen the key.
func (c *atMostOnceCall) resend(ctx context.Context, w http.ResponseWriter, srv membership.Server) error {
	for n := 0; c.service.RejectsDuplicates && n < maxResends; n++ {
		time.Sleep(resendDelay)
		c.gateway.metrics.retried.Inc(1)
		resp, err := c.gateway.cfg.Backends.Do(context.WithoutCancel(ctx), srv, c.call)
		if err != nil {
			continue
		}
		if resp.Status == http.StatusConflict {
			break
		}
		return c.recordAndRespond(w, resp)
	}
	return c.recordUnknown()
}

// errStartDeadline is the error response if the claim or the deadline expires before
// the dispatch.
var errStartDeadline = &Error{
	Status: http.StatusTooManyRequests, Code: "deadline",
	Message: "the call was not started in time", RetryAfter: time.Second,
}

// checkStart checks immediately before a dispatch whether the call may still start.
// The process may have been paused since the slot was granted, so that the claim
// or the deadline has expired or the server is draining.
func (c *atMostOnceCall) checkStart(ctx context.Context, slot *reservation.Slot) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	now := time.Now()
	if now.After(c.attempt.DispatchBy) || !c.spec.StartDeadline.IsZero() && now.After(c.spec.StartDeadline) {
		return errStartDeadline
	}
	if srv, ok := c.gateway.cfg.View.Server(slot.Server.Name); !ok || srv.Leaving {
		return &Error{
			Status: http.StatusServiceUnavailable, Code: "no_server",
			Message: "the backend server is leaving", RetryAfter: time.Second,
		}
	}
	return nil
}

// release releases the claim of a call that no server ran, and returns err.
func (c *atMostOnceCall) release(err error) error {
	c.gateway.cfg.Claims.Release(c.attempt)
	return err
}

// recordUnknown records that the outcome of a call is unknown, and returns the
// error response.
func (c *atMostOnceCall) recordUnknown() error {
	c.req.runState = Unknown
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.req.http.Context()), recordTimeout)
	defer cancel()
	if err := c.gateway.cfg.Claims.Abandon(ctx, c.attempt); err != nil {
		c.gateway.cfg.Log.Warn("recording the outcome of a call failed", "request_id", c.req.id, "err", err)
	}
	return &Error{
		Status: http.StatusBadGateway, Code: "outcome_unknown", Run: Unknown,
		Message: "the call was sent and its outcome is not known; it is not run again",
	}
}

// recordAndRespond records the outcome and writes the response, even if recording
// fails.
func (c *atMostOnceCall) recordAndRespond(w http.ResponseWriter, resp *dispatch.Response) error {
	c.req.runState = Ran
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.req.http.Context()), recordTimeout)
	defer cancel()
	record := claims.Response{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body}
	if err := c.gateway.cfg.Claims.Finish(ctx, c.attempt, record); err != nil {
		c.gateway.cfg.Log.Warn("recording the response of a call failed", "request_id", c.req.id, "err", err)
	}
	if err := writeResponse(w, c.req, resp); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
