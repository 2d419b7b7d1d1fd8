package forward

import (
	"errors"
	"io"
	"syscall"

	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/upstream"
)

// endEvidence is why the body of a response counts as whole, or why it doesn't.
type endEvidence string

// Evidence about the end of a body.
const (
	// endFramed: the body has all bytes of its length, or its last chunk.
	endFramed endEvidence = "framing"
	// endUnused: it ended with its connection and the catalog doesn't offer the server any more. It counts as whole.
	endUnused endEvidence = "catalog"
	// endAccepting: it ended with its connection and the server's address doesn't refuse others. It counts as whole.
	endAccepting endEvidence = "address"
	// endRefused: it ended with its connection and the server's address refuses others. It isn't whole.
	endRefused endEvidence = "refused"
)

// endEvidences lists all evidence, each of which has a counter.
var endEvidences = []endEvidence{endFramed, endUnused, endAccepting, endRefused}

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

// beginBody records that a response arrives.
func (q *request) beginBody(resp *upstream.Response) {
	q.end = bodyEnd{framing: framingName(resp.Framing)}
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
