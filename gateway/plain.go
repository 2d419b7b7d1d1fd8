package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/dispatch"
	"github.com/jacinththread/jacinththread/reservation"
	"github.com/jacinththread/jacinththread/scheduler"
	"github.com/jacinththread/jacinththread/telemetry"
)

// plainCost is the work of a plain call, in tokens.
const plainCost = 1

// servePlain routes a call to a plain service.
func (g *Gateway) servePlain(w http.ResponseWriter, req *request) error {
	vars := mux.Vars(req.http)
	service := req.active.Service(vars["service"])
	if service == nil || service.Kind != bundle.Plain {
		return &Error{Status: http.StatusNotFound, Code: "unknown_service", Message: "service does not exist: " + vars["service"]}
	}
	pool := req.active.PoolOfService(service.Name)
	if pool == nil {
		return &Error{Status: http.StatusNotFound, Code: "unknown_service", Message: "service has no pool: " + service.Name}
	}
	call := dispatch.Call{
		Method: req.http.Method,
		Path:   "/" + vars["path"],
		Header: plainHeader(req.http.Header),
		Body:   req.body,
	}
	if req.key != "" {
		call.Header.Set(HeaderIdempotency, req.backendKey())
	}
	if q := req.http.URL.RawQuery; q != "" {
		call.Path += "?" + q
	}
	spec := req.spec(pool)
	spec.Cost = plainCost
	if service.RepeatableCall(call.Method) {
		req.run = NotRun
		return g.runRepeatable(w, req, call, spec)
	}
	if req.key == "" {
		return badRequest("missing_key", "service %q runs %s calls at most once and requires %s",
			service.Name, call.Method, HeaderIdempotency)
	}
	call.Once = true
	return g.runOnce(w, req, service, call, spec)
}

// connectionHeaders end at the gateway.
var connectionHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Traceparent", "Tracestate",
}

// plainHeader returns the headers that pass on to a backend server.
func plainHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, "Jacinththread-") {
			out.Del(name)
		}
	}
	return out
}

// backendKey is the idempotency key towards backend servers. Keys belong to
// their customer, so two customers with the same key must not meet at a server
// that checks it.
func (r *request) backendKey() string { return r.customer.Name + ":" + r.key }

// addIdentity names the request towards the backend server.
func (r *request) addIdentity(ctx context.Context, h http.Header) {
	h.Set("X-Request-Id", r.id)
	telemetry.InjectHeader(ctx, h)
}

// backendHeader returns the headers of a completion request.
func (r *request) backendHeader(ctx context.Context) http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	r.addIdentity(ctx, h)
	return h
}

// runRepeatable runs an idempotent call and retries it within the budget.
func (g *Gateway) runRepeatable(w http.ResponseWriter, req *request, call dispatch.Call, spec reservation.Spec) error {
	ctx := req.http.Context()
	g.budgets.deposit(req.class)
	for n := 1; ; n++ {
		slot, err := g.acquire(ctx, req, spec)
		if err != nil {
			return callError(err)
		}
		before := req.run
		req.run = Unknown
		answer, err := g.do(ctx, req, slot, call)
		if err == nil {
			return writeAnswer(w, req, answer)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		notRun := dispatch.NotRun(err)
		// A busy plain service may have answered after the call had an effect.
		if notRun && !errors.Is(err, dispatch.ErrBusy) {
			req.run = before
		}
		if n >= maxDispatches || !notRun && !g.budgets.spend(req.class) {
			return callError(err)
		}
		g.counters.retried.Inc(1)
		spec.Avoid = append(spec.Avoid, slot.Server.Name)
	}
}

// do runs a call on a slot and returns the slot.
func (g *Gateway) do(ctx context.Context, req *request, slot *reservation.Slot, call dispatch.Call) (*dispatch.Answer, error) {
	ctx, span := g.startDispatch(ctx, slot)
	defer span.End()
	call.Header = call.Header.Clone()
	req.addIdentity(ctx, call.Header)
	start := time.Now()
	answer, err := g.cfg.Backends.Do(ctx, slot.Server, call)
	slot.Done(reservation.Report{Outcome: outcomeOf(ctx, err), First: time.Since(start)})
	if errors.Is(err, dispatch.ErrDraining) {
		g.cfg.View.ReportLeaving(slot.Server.Name)
	}
	if err == nil {
		g.counters.observe(req.class.Name, time.Since(req.arrived), req.firstTokenTarget())
	}
	return answer, err
}

// callError turns the failure of a call into the caller's answer.
func callError(err error) error {
	var refused *reservation.Refusal
	if errors.As(err, &refused) {
		return refusalError(refused)
	}
	if dispatch.NotRun(err) {
		return &Error{
			Status: http.StatusServiceUnavailable, Code: "no_server",
			Message: "no backend server took the call", RetryAfter: time.Second,
		}
	}
	return &Error{
		Status: http.StatusBadGateway, Code: "server_failed",
		Message: "the backend server did not complete the answer", RetryAfter: time.Second,
	}
}

// writeAnswer relays a whole answer.
func writeAnswer(w http.ResponseWriter, req *request, a *dispatch.Answer) error {
	h := w.Header()
	for name, values := range plainHeader(a.Header) {
		h[name] = values
	}
	h.Set(HeaderRun, string(Ran))
	h.Set(HeaderRequestID, req.id)
	req.begun = true
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	return err
}

// digest identifies the content of a call.
func digest(call dispatch.Call) [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), {0}, []byte(call.Path), {0}, call.Body} {
		h.Write(part)
	}
	return [32]byte(h.Sum(nil))
}

// canceled ends a slot that was not used.
func canceled(slot *reservation.Slot) {
	slot.Done(reservation.Report{Outcome: scheduler.OutcomeCanceled})
}
