package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/dispatch"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// provenTokens is the number of tokens of one attempt that show that the server doesn't crash under
	// the request.
	provenTokens = 3
	// maxCrashes is the number of servers that may end under one request before it is given up.
	maxCrashes = 2
)

// errWithheld is the response to a request under which, or under others like it, servers crash. It has no
// RetryAfter, because no time is known after which the request would be served.
var errWithheld = &Error{
	Status: http.StatusServiceUnavailable, Code: "withheld",
	Message: "the request is withheld because backend servers crash under it or others like it",
}

// errServersCrashed replaces errWithheld for a request that was sent before and may have run.
var errServersCrashed = &Error{
	Status: http.StatusBadGateway, Code: "server_failed", Run: Unknown,
	Message: "backend servers crashed under the request; it is not sent again",
}

// suspect returns what decides whether the request is withheld.
func (r *request) suspect() quarantine.Request {
	if len(r.subjects) == 0 {
		r.subjects = append(r.subjects, quarantine.RequestSubject(r.customerName(), r.http.URL.RequestURI(), r.body))
	}
	return quarantine.Request{Subjects: r.subjects, Customer: r.customerName()}
}

// suspectMessages adds the messages of a chat that other requests may have as well: all but the last one.
func (r *request) suspectMessages(messages []message) {
	r.subjects = r.suspect().Subjects
	for _, m := range messages[:max(0, len(messages)-1)] {
		hash := xxhash.Sum64String(m.Role + "\x00" + string(m.Content))
		r.subjects = append(r.subjects, quarantine.Subject{Kind: quarantine.PromptPart, Hash: hash})
	}
}

// checkCrashes returns errWithheld or errServersCrashed if the request may not be sent to servers of a service.
func (g *Gateway) checkCrashes(ctx context.Context, req *request, service string) error {
	g.cfg.Quarantine.AwaitSync(ctx)
	software := quarantine.Software{Service: service}
	suspect := req.suspect()
	if g.cfg.Quarantine.Permits(suspect, software) || g.cfg.Quarantine.TryOnce(ctx, suspect, software, time.Now()) {
		return nil
	}
	subject, crashes := g.cfg.Quarantine.Withheld(suspect, time.Now())
	g.cfg.Log.Info("request withheld, servers crash under others like it", "request_id", req.id, "customer", req.customerName(),
		"service", service, "subject", subject, "crashes", crashes)
	if req.crashes > 0 {
		return errServersCrashed
	}
	return errWithheld
}

// observeAttempt records whether a server crashed under the request or answered it. An attempt that
// brought provenTokens or more shows that it doesn't crash, also if it failed later.
func (g *Gateway) observeAttempt(ctx context.Context, req *request, s membership.Server, tokens int, err error) {
	software := quarantine.Software{Service: s.Service}
	if err == nil || tokens >= provenTokens {
		g.cfg.Quarantine.Answered(req.suspect(), software, time.Now())
		return
	}
	current, known := g.cfg.View.Server(s.Name)
	leaving := !known || current.Leaving
	if leaving || !errors.Is(err, dispatch.ErrIncomplete) || !upstream.HasEnded(ctx, upstream.Dial, s.Addr) {
		return
	}
	req.crashes++
	g.cfg.Log.Info("server ended during an attempt", "request_id", req.id, "server", s.Name, "customer", req.customerName(),
		"path", req.http.URL.Path, "tokens", tokens)
	g.cfg.Quarantine.Crashed(req.suspect(), quarantine.NewCrash(s.Name, software, req.customerName(), time.Now()))
}
