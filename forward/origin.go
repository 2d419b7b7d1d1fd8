package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/resume"
	"github.com/jacinththread/jacinththread/route"
)

const (
	// soleVersionTimeouts is how many timeouts of its route ago a stream can have begun that
	// a caller resumes without saying which one it is.
	soleVersionTimeouts = 4
	// maxCatalogAge is the age of the server catalog up to which it shows the versions that
	// serve now.
	maxCatalogAge = time.Second
)

// unknownOriginRetryAfter is the retry delay for callers whose stream cannot be resumed now.
const unknownOriginRetryAfter = 300 * time.Millisecond

var (
	errUnknownOrigin = errors.New("software version that began the stream is not known")
	errServiceLeft   = errors.New("route no longer leads to the service that began the stream")
	errNoSameVersion = errors.New("service has no server of the software version that began the stream")
)

// StreamOrigins stores and finds where streams began. See resume.Directory.
type StreamOrigins interface {
	Record(stream string, origin resume.Origin)
	Lookup(ctx context.Context, stream string) (resume.Origin, bool)
}

// resumesStream reports whether the caller resumes a stream of which it already has events.
func (q *request) resumesStream() bool {
	return q.mayResume() && q.meta.LastEvent != ""
}

// mayResume reports whether the route allows a stream to go on at another server.
func (q *request) mayResume() bool { return q.route.Kind == route.Streaming && q.route.Resumable }

// checkLastEvent reports whether the caller names the number of an event after which the stream can continue. If not, it
// refuses the request: no stream that can be resumed has such an event.
func (q *request) checkLastEvent() bool {
	_, err := parseEventNumber(q.meta.LastEvent)
	if err != nil {
		q.refuse(http.StatusBadRequest, "ID of the last event is not a number", 0)
	}
	return err == nil
}

// findOrigin determines where the stream that the caller resumes began. If the stream can't
// continue there, it refuses the request and returns false.
func (q *request) findOrigin(ctx context.Context) bool {
	origin, ok := q.lookupOrigin(ctx)
	if !ok {
		q.refuseResume(errUnknownOrigin, origin)
		return false
	}
	leads := func(s route.Share) bool { return s.Service == origin.Service }
	if !slices.ContainsFunc(q.route.Shares, leads) {
		q.refuseResume(errServiceLeft, origin)
		return false
	}
	q.service, q.origin = origin.Service, &origin
	return true
}

// lookupOrigin returns where the stream began: as recorded under the ID that the caller names or,
// for callers that name none, if there is only one possibility.
func (q *request) lookupOrigin(ctx context.Context) (resume.Origin, bool) {
	if q.meta.Resumes == "" {
		return q.soleOrigin()
	}
	return q.cfg.Streams.Lookup(ctx, q.meta.Resumes)
}

// soleOrigin returns where every stream of the route that a caller can still resume began, if
// there is only one possibility: the route leads to one service, which has had servers of one
// version for long enough.
func (q *request) soleOrigin() (resume.Origin, bool) {
	_, age := q.cfg.CatalogFreshness()
	if len(q.route.Shares) != 1 || q.route.Timeout <= 0 || age > maxCatalogAge {
		return resume.Origin{}, false
	}
	service := q.route.Shares[0].Service
	since := time.Now().Add(-soleVersionTimeouts * q.route.Timeout)
	version, ok := q.cfg.Catalog.SoleVersion(service, since)
	return resume.Origin{Service: service, Version: version}, ok
}

func (q *request) refuseResume(err error, origin resume.Origin) {
	q.cfg.Log.Info("stream not resumed", "request_id", q.meta.ID, "resumes", q.meta.Resumes, "after", q.meta.LastEvent,
		"service", origin.Service, "version", origin.Version, "err", err)
	q.refuse(http.StatusServiceUnavailable, err.Error(), unknownOriginRetryAfter)
}

// beginStream records the server whose events are the first that the caller gets.
func (q *request) beginStream(s *backend.Server) {
	if q.origin != nil {
		return
	}
	q.origin = &resume.Origin{Service: q.service, Version: s.Version}
	if q.route.Resumable {
		q.cfg.Streams.Record(q.meta.ID, *q.origin)
	}
}

// mayContinue reports whether a server may send the next events: any server if the caller
// has none yet, otherwise only one of the version that began the stream.
func (q *request) mayContinue(s *backend.Server) bool {
	return q.origin == nil || q.origin.Version != "" && s.Version == q.origin.Version
}

// canContinue reports whether another server could continue after what the caller already has.
func (q *request) canContinue() bool {
	return !q.w.Started() || q.mayResume() && q.stream.lastEventID() != ""
}

// noServerError returns why there is no server to try.
func (q *request) noServerError() error {
	if q.origin != nil {
		return errNoSameVersion
	}
	return errNoServer
}
