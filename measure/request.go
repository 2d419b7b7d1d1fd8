package measure

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/bundle"
)

// outcome is how a request ended.
type outcome int

const (
	pending outcome = iota
	completed
	refused
	failed
	// abandoned means that the caller closed the connection before the end.
	abandoned
)

// request is one caller's request with its outcome and its measured times.
type request struct {
	class    *bundle.Class
	customer string
	gateway  int
	template int
	prefix   uint64
	shared   int
	prompt   int
	// length is the number of tokens of the complete response.
	length  int
	arrived time.Duration
	// leaveAfter is the time from the arrival until the caller closes the
	// connection; zero means never.
	leaveAfter time.Duration
	// silentAfter is the number of tokens after which the first stream of the
	// request stalls; zero means never.
	silentAfter int
	// burst is set if the request is not part of the steady traffic.
	burst bool

	outcome outcome
	// started is the time of the first dispatch. first and ended are the times
	// at which the caller got the first token and the end of the response.
	started, first, ended time.Duration
	// delivered counts the tokens that the caller could use, wasted the others.
	delivered, wasted int
	// withdraw takes the request out of the queue or off its engine when the
	// caller closes the connection.
	withdraw func()
}

// setPrefix derives the prompt prefix from the class, customer and template.
func (q *request) setPrefix() {
	d := xxhash.New()
	_, _ = d.WriteString(q.class.Name + "/" + q.customer)
	_, _ = d.Write([]byte{byte(q.template)})
	q.prefix = d.Sum64()
}

// firstTokenDeadline returns the time by which the first token is due.
func (q *request) firstTokenDeadline() time.Duration {
	return q.arrived + time.Duration(q.class.FirstTokenMs)*time.Millisecond
}

// queueDeadline returns the time at which a request that is still queued is
// refused.
func (q *request) queueDeadline() time.Duration {
	if q.class.OnMiss == bundle.OnMissRefuse {
		return q.firstTokenDeadline()
	}
	return q.arrived + time.Duration(q.class.StarvationMs)*time.Millisecond
}

// attained reports whether the complete response met the class's targets for
// the first token and the mean token gap.
func (q *request) attained() bool {
	if q.outcome != completed || q.first > q.firstTokenDeadline() {
		return false
	}
	gap := time.Duration(0)
	if q.length > 1 {
		gap = (q.ended - q.first) / time.Duration(q.length-1)
	}
	return gap <= time.Duration(q.class.TokenGapMs)*time.Millisecond
}

// waited returns the time from arrival to the first dispatch, or to the end of a
// request that was never dispatched.
func (q *request) waited() time.Duration {
	if q.started > 0 {
		return q.started - q.arrived
	}
	return q.ended - q.arrived
}
