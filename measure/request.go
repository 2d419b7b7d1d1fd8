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
	whole
	refused
	failed
	left
)

// request is one caller's request and what became of it.
type request struct {
	class    *bundle.Class
	customer string
	gateway  int
	template int
	prefix   uint64
	shared   int
	prompt   int
	// length is the number of tokens of the answer.
	length  int
	arrived time.Duration
	// leaveAfter is when the caller goes away, counted from the arrival; zero
	// means never.
	leaveAfter  time.Duration
	silentAfter int
	burst       bool

	outcome outcome
	// started is when the request first left the queue; first and ended are
	// when the caller got the first token and the end of the answer.
	started, first, ended time.Duration
	// delivered and wasted count tokens.
	delivered, wasted int
	// withdraw is called when the caller goes away.
	withdraw func()
}

func (q *request) setPrefix() {
	d := xxhash.New()
	_, _ = d.WriteString(q.class.Name + "/" + q.customer)
	_, _ = d.Write([]byte{byte(q.template)})
	q.prefix = d.Sum64()
}

func (q *request) target() time.Duration {
	return q.arrived + time.Duration(q.class.FirstTokenMs)*time.Millisecond
}

// giveUp is when a request that was not started is refused.
func (q *request) giveUp() time.Duration {
	if q.class.OnMiss == bundle.Refuse {
		return q.target()
	}
	return q.arrived + time.Duration(q.class.StarvationMs)*time.Millisecond
}

// attained reports whether the whole answer came within the class's targets.
func (q *request) attained() bool {
	if q.outcome != whole || q.first > q.target() {
		return false
	}
	gap := time.Duration(0)
	if q.length > 1 {
		gap = (q.ended - q.first) / time.Duration(q.length-1)
	}
	return gap <= time.Duration(q.class.TokenGapMs)*time.Millisecond
}

// waited is the time until the request was started or ended without a start.
func (q *request) waited() time.Duration {
	if q.started > 0 {
		return q.started - q.arrived
	}
	return q.ended - q.arrived
}
