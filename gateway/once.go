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
	// claimTimeout bounds recording an outcome after the call ended.
	claimTimeout = 5 * time.Second
	// claimRetryAfter is told while the store does not answer or another
	// attempt runs.
	claimRetryAfter = 2 * time.Second
	// maxRepeats and repeatWait bound how a call is settled with a server that
	// checks the key.
	maxRepeats = 2
	repeatWait = 200 * time.Millisecond
)

// runOnce runs a call that may not be repeated. The slot comes first, so that
// the time between the claim and the dispatch is short.
func (g *Gateway) runOnce(w http.ResponseWriter, req *request, service *bundle.Service, call dispatch.Call, spec reservation.Spec) error {
	ctx := req.http.Context()
	slot, err := g.acquire(ctx, req, spec)
	if err != nil {
		return callError(err)
	}
	key := claims.Key{Customer: req.customer.Name, Service: service.Name, Token: req.key}
	attempt, err := g.cfg.Claims.Begin(ctx, key, digest(call))
	if err != nil {
		canceled(slot)
		return err
	}
	if attempt.Verdict != claims.Run {
		canceled(slot)
		return answerClaim(w, req, attempt)
	}
	// The claim proves that no attempt with this key ran before.
	req.run = NotRun
	o := &onceCall{gateway: g, req: req, service: service, call: call, spec: spec, attempt: attempt}
	return o.run(ctx, w, slot)
}

// answerClaim answers a call that this attempt may not run.
func answerClaim(w http.ResponseWriter, req *request, a claims.Attempt) error {
	switch a.Verdict {
	case claims.Replay:
		return replay(w, req, a.Answer)
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

// replay returns the recorded answer of an earlier attempt.
func replay(w http.ResponseWriter, req *request, a *claims.Answer) error {
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
	return writeAnswer(w, req, &dispatch.Answer{Status: a.Status, Header: h, Body: a.Body})
}

// onceCall is a claimed call on its way to a backend server.
type onceCall struct {
	gateway *Gateway
	req     *request
	service *bundle.Service
	call    dispatch.Call
	spec    reservation.Spec
	attempt claims.Attempt
}

// run sends the call until a server ran it or surely none did. The caller's
// going away stops it before a dispatch, never during one.
func (o *onceCall) run(ctx context.Context, w http.ResponseWriter, slot *reservation.Slot) error {
	for n := 1; ; n++ {
		if err := o.checkStart(ctx, slot); err != nil {
			canceled(slot)
			return o.release(err)
		}
		answer, err := o.gateway.do(context.WithoutCancel(ctx), o.req, slot, o.call)
		if err == nil {
			return o.complete(w, answer)
		}
		if !dispatch.NotRun(err) {
			return o.settle(ctx, w, slot.Server)
		}
		if n >= maxDispatches {
			return o.release(callError(err))
		}
		o.gateway.counters.retried.Inc(1)
		o.spec.Avoid = append(o.spec.Avoid, slot.Server.Name)
		slot, err = o.gateway.acquire(ctx, o.req, o.spec)
		if err != nil {
			return o.release(callError(err))
		}
	}
}

// settle asks a server that checks the key to run the same attempt again, after
// its first answer was lost. The outcome stays unknown if the server does not
// check, does not answer, or has seen the key.
func (o *onceCall) settle(ctx context.Context, w http.ResponseWriter, srv membership.Server) error {
	for n := 0; o.service.ChecksOrder && n < maxRepeats; n++ {
		time.Sleep(repeatWait)
		o.gateway.counters.retried.Inc(1)
		answer, err := o.gateway.cfg.Backends.Do(context.WithoutCancel(ctx), srv, o.call)
		if err != nil {
			continue
		}
		if answer.Status == http.StatusConflict {
			break
		}
		return o.complete(w, answer)
	}
	return o.abandon()
}

var errTooLate = &Error{
	Status: http.StatusTooManyRequests, Code: "deadline",
	Message: "the call was not started in time", RetryAfter: time.Second,
}

// checkStart looks again, right before a dispatch, whether the call may start:
// this daemon may have been paused since the slot was granted.
func (o *onceCall) checkStart(ctx context.Context, slot *reservation.Slot) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	now := time.Now()
	if now.After(o.attempt.DispatchBy) || !o.spec.GiveUp.IsZero() && now.After(o.spec.GiveUp) {
		return errTooLate
	}
	if srv, ok := o.gateway.cfg.View.Server(slot.Server.Name); !ok || srv.Leaving {
		return &Error{
			Status: http.StatusServiceUnavailable, Code: "no_server",
			Message: "the backend server is leaving", RetryAfter: time.Second,
		}
	}
	return nil
}

// release withdraws the claim of a call that no server ran.
func (o *onceCall) release(err error) error {
	o.gateway.cfg.Claims.Release(o.attempt)
	return err
}

// abandon records that the outcome of a call is not known.
func (o *onceCall) abandon() error {
	o.req.run = Unknown
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.req.http.Context()), claimTimeout)
	defer cancel()
	if abandonErr := o.gateway.cfg.Claims.Abandon(ctx, o.attempt); abandonErr != nil {
		o.gateway.cfg.Log.Warn("outcome of a call was not recorded", "request_id", o.req.id, "err", abandonErr)
	}
	return &Error{
		Status: http.StatusBadGateway, Code: "outcome_unknown", Run: Unknown,
		Message: "the call was sent and its outcome is not known; it is not run again",
	}
}

// complete records the outcome and answers the caller. An answer that was not
// recorded is still given.
func (o *onceCall) complete(w http.ResponseWriter, a *dispatch.Answer) error {
	o.req.run = Ran
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.req.http.Context()), claimTimeout)
	defer cancel()
	record := claims.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}
	if err := o.gateway.cfg.Claims.Finish(ctx, o.attempt, record); err != nil {
		o.gateway.cfg.Log.Warn("answer of a call was not recorded", "request_id", o.req.id, "err", err)
	}
	if err := writeAnswer(w, o.req, a); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
