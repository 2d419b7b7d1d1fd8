package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/upstream"
)

// endEvidence is why the body of a response counts as whole, or why it doesn't.
type endEvidence string

// Evidence about the end of a body.
const (
	// endFramed: the body has all bytes of its length, or its last chunk.
	endFramed endEvidence = "framing"
	// endConnection: it ended with its connection, and its process responded afterwards on an earlier connection.
	endConnection endEvidence = "connection"
	// endIdentity: it ended with its connection, and its process responded afterwards and said which it is.
	endIdentity endEvidence = "identity"
	// endRecord: it ended with its connection, a process with the server's ID responded afterwards, and the catalog, as of
	// a later time, has the record of the process that sent it.
	endRecord endEvidence = "record"
	// endNone: it ended with its connection, and nothing shows that its process lived on. It isn't whole.
	endNone endEvidence = "none"
)

// endEvidences lists all evidence, each of which has a counter.
var endEvidences = []endEvidence{endFramed, endConnection, endIdentity, endRecord, endNone}

// connEnd is how the connection to a server was at the end of a body.
type connEnd string

// Ends of a connection.
const (
	connOpen    connEnd = "open"
	connClosed  connEnd = "closed"
	connReset   connEnd = "reset"
	connTimeout connEnd = "timeout"
	connFailed  connEnd = "failed"
)

// bodyEnd tells how the body of the last response ended, for logs and metrics.
type bodyEnd struct {
	// framing is how the server told the end of the body.
	framing string
	conn    connEnd
	// evidence is empty if the end of the body wasn't reached.
	evidence endEvidence
}

func newEndCounters(registry metrics.Registry) map[endEvidence]metrics.Counter {
	counters := map[endEvidence]metrics.Counter{}
	for _, e := range endEvidences {
		counters[e] = metrics.GetOrRegisterCounter("forward.ends."+string(e), registry)
	}
	return counters
}

// beginBody records that a response arrives. If its body ends with its connection, evidence will be needed that its server
// lived on.
func (q *request) beginBody(ctx context.Context, res attemptResult) {
	q.end = bodyEnd{framing: framingName(res.response.Framing)}
	if q.endsWithConnection(res.response) {
		q.cfg.Pool.WatchEnd(ctx, res.response, res.inFlight.Server)
	}
}

// endsWithConnection reports whether a response has a body that ends with its connection.
func (q *request) endsWithConnection(resp *upstream.Response) bool {
	return resp.Framing == upstream.UntilClose && q.in.Method != http.MethodHead
}

// checkBodyEnd returns an error if a body that was read to its end may have been broken off. The end of a process closes
// connections as the end of a body does, so a body that ends with its connection is whole only if its process is known to
// have lived on.
func (q *request) checkBodyEnd(ctx context.Context, res attemptResult) error {
	if !q.endsWithConnection(res.response) {
		q.endBody(connOpen, endFramed)
		return nil
	}
	server := res.inFlight.Server
	probe := q.cfg.HeaderCodec.Probe(server, q.table.Service(q.service))
	liveness, err := q.cfg.Pool.LivedOn(ctx, res.response, server, probe)
	switch {
	case liveness == upstream.ByConnection:
		q.endBody(connClosed, endConnection)
	case liveness == upstream.ByIdentity:
		q.endBody(connClosed, endIdentity)
	case liveness == upstream.ByID && q.keepsRecord(ctx, server.Instance()):
		q.endBody(connClosed, endRecord)
	default:
		q.endBody(connClosed, endNone)
		return fmt.Errorf("%w (%v)", errServerEnd, err)
	}
	return nil
}

const (
	// recordTimeout bounds the wait until the catalog is known as of now.
	recordTimeout = 1500 * time.Millisecond
	// recordPoll is the time between two looks at the catalog.
	recordPoll = 20 * time.Millisecond
)

// keepsRecord reports whether the catalog, as of a time after now, has the record of a process, and not that of another one
// with its ID.
func (q *request) keepsRecord(ctx context.Context, server backend.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	poll := time.NewTicker(recordPoll)
	defer poll.Stop()
	for asked := time.Now(); !q.catalogAsOf().After(asked); {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return false
		}
	}
	return q.cfg.Catalog.Known(server)
}

// catalogAsOf returns the time as of which the catalog is known.
func (q *request) catalogAsOf() time.Time {
	_, age := q.cfg.CatalogFreshness()
	return time.Now().Add(-age)
}

// endBody records that the end of a body was reached, and what tells whether it is whole.
func (q *request) endBody(conn connEnd, evidence endEvidence) {
	q.end.conn, q.end.evidence = conn, evidence
	q.endCounters[evidence].Inc(1)
}

// breakBody records the error with which a body ended, unless its end was reached.
func (q *request) breakBody(err error) {
	if q.end.framing != "" && q.end.conn == "" {
		q.end.conn = connEndOf(err)
	}
}

func framingName(f upstream.Framing) string {
	switch f {
	case upstream.Sized:
		return "length"
	case upstream.Chunked:
		return "chunks"
	default:
		return "connection"
	}
}

// connEndOf returns how a connection ended on which a read failed.
func connEndOf(err error) connEnd {
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		return connReset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return connClosed
	case isTimeout(err):
		return connTimeout
	default:
		return connFailed
	}
}
