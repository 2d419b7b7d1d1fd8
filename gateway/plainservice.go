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

// plainCallCost is the cost of a call to a plain service, in output tokens.
const plainCallCost = 1

// servePlain serves a call to a plain service.
func (g *Gateway) servePlain(w http.ResponseWriter, req *request) error {
	vars := mux.Vars(req.http)
	service := req.active.Service(vars["service"])
	if service == nil || service.Kind != bundle.PlainService {
		return &Error{Status: http.StatusNotFound, Code: "unknown_service", Message: "service does not exist: " + vars["service"]}
	}
	pool := req.active.PoolOfService(service.Name)
	if pool == nil {
		return &Error{Status: http.StatusNotFound, Code: "unknown_service", Message: "service has no pool: " + service.Name}
	}
	call := dispatch.Call{
		Method: req.http.Method,
		Path:   "/" + vars["path"],
		Header: forwardedHeader(req.http.Header),
		Body:   req.body,
	}
	if req.idempotencyKey != "" {
		call.Header.Set(HeaderIdempotency, req.backendKey())
	}
	if q := req.http.URL.RawQuery; q != "" {
		call.Path += "?" + q
	}
	spec := req.spec(pool)
	spec.Cost = plainCallCost
	if service.RepeatableCall(call.Method) {
		req.runState = NotRun
		return g.runRepeatable(w, req, call, spec)
	}
	if req.idempotencyKey == "" {
		return badRequest("missing_key", "service %q runs %s calls at most once and requires %s",
			service.Name, call.Method, HeaderIdempotency)
	}
	call.Once = true
	return g.runAtMostOnce(w, req, service, call, spec)
}

// unforwardedHeaders are not forwarded: headers of one connection, credentials, and
// headers that the gateway or net/http sets itself.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Traceparent", "Tracestate",
}

// forwardedHeader returns the headers of a request or response to be forwarded. It
// omits unforwardedHeaders, headers listed in Connection, and those of the router.
func forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, "Jacinththread-") {
			out.Del(name)
		}
	}
	return out
}

// backendKey returns the Idempotency-Key sent to backend servers. It includes the
// customer, because two customers may use the same key and a server that rejects
// duplicates by key would reject the second customer's call.
func (r *request) backendKey() string { return r.customer.Name + ":" + r.idempotencyKey }

// addTraceHeaders sets the request ID and the trace context.
func (r *request) addTraceHeaders(ctx context.Context, h http.Header) {
	h.Set("X-Request-Id", r.id)
	telemetry.InjectHeader(ctx, h)
}

// completionHeader returns the headers of a completion request to an engine.
func (r *request) completionHeader(ctx context.Context) http.Header {
	h := http.Header{"Content-Type": {"application/json"}}
	r.addTraceHeaders(ctx, h)
	return h
}

// runRepeatable runs an idempotent call and retries it after failures. A retry
// counts against the class's retry budget, unless the server refused the call or
// no connection was made.
func (g *Gateway) runRepeatable(w http.ResponseWriter, req *request, call dispatch.Call, spec reservation.Spec) error {
	ctx := req.http.Context()
	g.retryBudgets.deposit(req.class)
	for n := 1; ; n++ {
		slot, err := g.acquire(ctx, req, spec)
		if err != nil {
			return callError(err)
		}
		previous := req.runState
		req.runState = Unknown
		resp, err := g.dispatchCall(ctx, req, slot, call)
		if err == nil {
			return writeResponse(w, req, resp)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		notRun := dispatch.NotRun(err)
		// A plain service may send a 503 after the call had an effect.
		if notRun && !errors.Is(err, dispatch.ErrBusy) {
			req.runState = previous
		}
		if n >= maxDispatches || req.crashes >= maxCrashes || !notRun && !g.retryBudgets.spend(req.class) {
			return callError(err)
		}
		g.metrics.retried.Inc(1)
		spec.ExcludedServers = append(spec.ExcludedServers, slot.Server.Name)
	}
}

// dispatchCall runs a call on the slot's server and releases the slot.
func (g *Gateway) dispatchCall(ctx context.Context, req *request, slot *reservation.Slot, call dispatch.Call) (*dispatch.Response, error) {
	ctx, span := g.startDispatch(ctx, slot)
	defer span.End()
	call.Header = call.Header.Clone()
	req.addTraceHeaders(ctx, call.Header)
	start := time.Now()
	resp, err := g.cfg.Backends.Do(ctx, slot.Server, call)
	slot.Done(reservation.Report{Outcome: attemptOutcome(ctx, err), FirstToken: time.Since(start)})
	g.observeAttempt(ctx, req, slot.Server, 0, err)
	if errors.Is(err, dispatch.ErrDraining) {
		g.cfg.View.ReportLeaving(slot.Server.Name)
	}
	if err == nil {
		g.metrics.observeFirstToken(req.class.Name, time.Since(req.arrived), req.firstTokenTarget())
	}
	return resp, err
}

// callError returns the error response for a failed call.
func callError(err error) error {
	var refused *reservation.Refusal
	if errors.As(err, &refused) {
		return refusalError(refused)
	}
	var final *Error
	if errors.As(err, &final) {
		return final
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

// writeResponse writes the complete response of a backend server to the caller.
func writeResponse(w http.ResponseWriter, req *request, resp *dispatch.Response) error {
	h := w.Header()
	for name, values := range forwardedHeader(resp.Header) {
		h[name] = values
	}
	h.Set(HeaderRun, string(Ran))
	h.Set(HeaderRequestID, req.id)
	req.responseStarted = true
	w.WriteHeader(resp.Status)
	_, err := w.Write(resp.Body)
	return err
}

// callDigest returns a hash of the method, path and body of a call.
func callDigest(call dispatch.Call) [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(call.Method), {0}, []byte(call.Path), {0}, call.Body} {
		h.Write(part)
	}
	return [32]byte(h.Sum(nil))
}

// releaseUnused releases a slot on which nothing was dispatched.
func releaseUnused(slot *reservation.Slot) {
	slot.Done(reservation.Report{Outcome: scheduler.OutcomeCanceled})
}
