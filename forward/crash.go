package forward

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// provenEvents is the number of events of one attempt that show that the server doesn't crash under
	// the request. A server that does may still have sent the first one.
	provenEvents = 3
	// maxCrashes is the number of servers that may end under one request before it is given up.
	maxCrashes = 2
)

var errWithheld = errors.New("request is withheld because servers crash under it or others like it")

// suspect returns what decides whether the request is withheld. The last part of a prompt belongs to
// the request alone. The result is computed once, because it needs a hash of the body.
func (q *request) suspect() quarantine.Request {
	if q.suspectOf == nil {
		r := q.newSuspect()
		q.suspectOf = &r
	}
	return *q.suspectOf
}

func (q *request) newSuspect() quarantine.Request {
	r := quarantine.Request{Customer: q.customer}
	r.Subjects = append(r.Subjects, quarantine.RequestSubject(q.customer, q.in.Target, q.in.Body))
	for _, p := range q.meta.Prompt[:max(0, len(q.meta.Prompt)-1)] {
		r.Subjects = append(r.Subjects, quarantine.Subject{Kind: quarantine.PromptPart, Hash: p.Hash})
	}
	return r
}

// observeBreak checks whether a server ended before it had answered the request. If so, it logs and
// records what other requests under which servers end may have in common with this one. A server that
// is known to leave is expected to end.
func (q *request) observeBreak(ctx context.Context, s *backend.Server, err error) {
	if ctx.Err() != nil || q.attemptEvents >= provenEvents || !upstream.IsConnectionLost(err) || !q.cfg.Pool.HasEnded(ctx, s) {
		return
	}
	q.serverEnds.Inc(1)
	q.cfg.Log.Info("server ended during an attempt", "request_id", q.meta.ID, "server", s.ID, "version", s.Version,
		"customer", q.customer, "path", q.in.Path, "body_hash", bodyHash(q.in.Body),
		"parts", partHashes(q.meta.Prompt), "events", q.attemptEvents)
	if !q.cfg.Catalog.Usable(s.Instance()) {
		return
	}
	q.crashes++
	q.cfg.Quarantine.Crashed(q.suspect(), quarantine.Crash{
		Server: s.Instance(), Software: quarantine.SoftwareOf(s), Customer: q.customer, At: time.Now(),
	})
}

// recordAnswered records that a server doesn't crash under the request.
func (q *request) recordAnswered(s *backend.Server) {
	q.cfg.Quarantine.Answered(q.suspect(), quarantine.SoftwareOf(s), time.Now())
}

// allowed returns the servers that the request may be sent to although servers crash under others. If
// there is none, it may be one server for a trial.
func (q *request) allowed(ctx context.Context, servers []*backend.Server) []*backend.Server {
	suspect := q.suspect()
	if !q.cfg.Quarantine.Withholds(suspect) {
		return servers
	}
	var allowed []*backend.Server
	for _, s := range servers {
		if q.cfg.Quarantine.Permits(suspect, quarantine.SoftwareOf(s)) {
			allowed = append(allowed, s)
		}
	}
	if len(allowed) > 0 {
		return allowed
	}
	for _, s := range servers {
		if q.cfg.Quarantine.TryOnce(ctx, suspect, quarantine.SoftwareOf(s), time.Now()) {
			return []*backend.Server{s}
		}
	}
	return nil
}

// crashedTooOften reports whether the request may not be sent again because servers crash under it or
// under others with the same subjects.
func (q *request) crashedTooOften() bool {
	return q.crashes >= maxCrashes || q.crashes > 0 && q.cfg.Quarantine.Withholds(q.suspect())
}

// refuseWithheld ends a request that may not be sent to any server. Without a Retry-After the caller
// isn't told to come back: no time is known after which the request would be served.
func (q *request) refuseWithheld(ctx context.Context) {
	subject, crashes := q.cfg.Quarantine.Withheld(q.suspect(), time.Now())
	q.cfg.Log.Info("request withheld, servers crash under others like it", "request_id", q.meta.ID, "customer", q.customer,
		"service", q.service, "subject", subject, "crashes", crashes)
	if ctx.Err() != nil || q.attempts > 0 || q.w.Started() {
		q.giveUp(ctx, attemptResult{runState: notRun, err: errWithheld})
		return
	}
	q.refuse(http.StatusServiceUnavailable, errWithheld.Error(), 0)
}

// bodyHashBytes is the number of bytes of a body's hash that are logged.
const bodyHashBytes = 8

// bodyHash returns the first bytes of a body's SHA-256 hash in hexadecimal.
func bodyHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:bodyHashBytes])
}

// partHashes returns the hashes of the parts of a prompt in hexadecimal, separated by commas.
func partHashes(prompt []placement.Part) string {
	var hashes []string
	for _, p := range prompt {
		hashes = append(hashes, strconv.FormatUint(p.Hash, 16))
	}
	return strings.Join(hashes, ",")
}
