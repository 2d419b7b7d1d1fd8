package forward

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/upstream"
)

// maxBothRun is how long a stream may run at two servers: a server that takes it up has to complete its first event within this
// time after it began to send.
const maxBothRun = 100 * time.Millisecond

var (
	// errTakenOver ends the read of a silent stream that another server has taken up.
	errTakenOver = errors.New("server was silent and another one has taken up the stream")
	// errStalled ends the read of a stream whose server stops, or nearly so, inside an event.
	errStalled = fmt.Errorf("server stalls inside an event: %w", os.ErrDeadlineExceeded)
	// errHeardAgain cancels the attempt at another server because the silent one goes on.
	errHeardAgain = errors.New("silent server goes on")
	// errIncompleteEvent cancels the attempt at another server because that one doesn't complete its first event.
	errIncompleteEvent = errors.New("server stops inside its first event")
)

// currentAttempt is what a request keeps of its current attempt.
type currentAttempt struct {
	server        *backend.Server
	via           string
	estimate      placement.Estimate
	notice        backend.Notice
	sentAt        time.Time
	counted       bool
	attemptEvents int
}

func (q *request) saveAttempt() currentAttempt {
	return currentAttempt{q.lastServer, q.via, q.estimate, q.notice, q.sentAt, q.counted, q.attemptEvents}
}

func (q *request) restoreAttempt(a currentAttempt) {
	q.lastServer, q.via, q.estimate, q.notice, q.sentAt, q.counted, q.attemptEvents = a.server, a.via, a.estimate, a.notice, a.sentAt, a.counted, a.attemptEvents
}

// onSilence returns what to do when a server sends nothing for the gap timeout: other servers are asked to take up the
// stream, and the silent one is kept until one of them has begun to send. A silent server may be sound, and others may
// have no room.
func (q *request) onSilence(ctx context.Context) upstream.SilenceFunc {
	return func(heard <-chan bool) error {
		if q.stream.endsInsideEvent() {
			return errStalled
		}
		silent := q.saveAttempt()
		run, stop := watchSilentRun(ctx, heard)
		defer stop(nil)
		for run.waiting.Err() == nil {
			inFlight := q.chooseElsewhere(ctx)
			if inFlight == nil {
				break
			}
			next, ok := q.tryElsewhere(ctx, run, inFlight)
			if ok {
				q.takenOver = next
				return errTakenOver
			}
			if !next.serverRefused {
				break
			}
		}
		q.restoreAttempt(silent)
		return nil
	}
}

// silentRun is the run of a stream at a silent server.
type silentRun struct {
	// waiting ends when the server goes on. If its connection ends, it doesn't: another server is needed then.
	waiting context.Context
	// ended is set once the connection has ended.
	ended atomic.Bool
}

// watchSilentRun watches a silent server until the returned function is called.
func watchSilentRun(ctx context.Context, heard <-chan bool) (*silentRun, context.CancelCauseFunc) {
	waiting, stop := context.WithCancelCause(ctx)
	run := &silentRun{waiting: waiting}
	go func() {
		select {
		case goesOn := <-heard:
			if goesOn {
				stop(errHeardAgain)
			}
			run.ended.Store(!goesOn)
		case <-waiting.Done():
		}
	}()
	return run, stop
}

// takeover is an attempt at another server and its span.
type takeover struct {
	attemptResult
	span trace.Span
}

// tryElsewhere sends the request to another server and waits until it begins to send events, or until the silent one goes
// on. It reports whether the server has taken up the stream.
func (q *request) tryElsewhere(ctx context.Context, silent *silentRun, inFlight *placement.InFlight) (*takeover, bool) {
	q.lastServer, q.estimate = inFlight.Server, inFlight.Estimate
	q.tried[inFlight.Server.Instance()] = true
	q.cfg.Log.Info("stream is silent, asking another server to take it up", "request_id", q.meta.ID, "server", inFlight.Server.ID,
		"after", q.stream.lastEventID())
	// The exchange outlives the wait if the server takes up the stream.
	exchange, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(silent.waiting, func() { cancel(context.Cause(silent.waiting)) })
	exchange, span := q.startAttemptSpan(exchange)
	span.SetAttributes(attribute.String("server", inFlight.Server.ID))
	next := &takeover{attemptResult: q.send(exchange, inFlight), span: span}
	if next.response != nil {
		var decided atomic.Bool // Which of the two runs is ended.
		next.err = q.awaitFirstEvent(next.attemptResult, func() {
			if !silent.ended.Load() && decided.CompareAndSwap(false, true) {
				cancel(errIncompleteEvent)
			}
		})
		if next.err == nil && decided.CompareAndSwap(false, true) && release() {
			return next, true
		}
		next.response.Close()
		q.attempts++
		next.inFlight.End(time.Now(), q.notTakenUp(exchange, next.err))
		q.cfg.Log.Info("silent stream not taken up", "request_id", q.meta.ID, "server", inFlight.Server.ID, "err", next.err,
			"cause", context.Cause(exchange))
	}
	span.SetStatus(codes.Error, "stream not taken up")
	span.End()
	cancel(nil)
	return next, false
}

// notTakenUp returns the result of an attempt at a server that didn't take up a stream.
func (q *request) notTakenUp(ctx context.Context, err error) placement.Result {
	if errors.Is(context.Cause(ctx), errIncompleteEvent) {
		return placement.Unreachable
	}
	return q.placementResult(ctx, err)
}

// awaitFirstEvent waits until a server that takes up a stream has sent an event that follows those that the caller has. It calls
// endRun if the server has begun to send and no event is complete maxBothRun later.
func (q *request) awaitFirstEvent(res attemptResult, endRun func()) error {
	if !isEventStream(res.response) || !q.cfg.HeaderCodec.IsAuthentic(res.response.Header) {
		return fmt.Errorf("%w: status %d instead of an event stream", errServerFailed, res.response.Status)
	}
	res.response.SetReadTimeout(q.firstByteTimeout())
	var limit *time.Timer
	return res.response.AwaitBody(func(received []byte) (bool, error) {
		continued, err := q.stream.continuedBy(received)
		if limit == nil && len(received) > 0 {
			limit = time.AfterFunc(maxBothRun, endRun)
		}
		if continued || err != nil {
			limit.Stop()
		}
		return continued, err
	})
}

// chooseElsewhere chooses another server that may get the request now, and takes a retry for it. It returns nil if there
// is none. It neither waits nor refuses.
func (q *request) chooseElsewhere(ctx context.Context) *placement.InFlight {
	if q.cfg.Quarantine.Withholds(q.suspect()) {
		return nil
	}
	servers, blocked := q.filterServers(q.untriedServers())
	if blocked != nil {
		return nil
	}
	inFlight, refusal := q.placeInTurn(servers, q.placementRequest())
	if refusal != nil || inFlight == nil {
		return nil
	}
	if !q.take(inFlight.Server) || !q.shouldRetry(ctx, attemptResult{runState: mayRun}) {
		inFlight.End(time.Now(), placement.Abandoned)
		return nil
	}
	return inFlight
}
