package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// streamReadBytes is the size of the buffer for reading a stream.
	streamReadBytes = 4 << 10
	// gapTimeoutFactor is how many times its target for the gap between events
	// a resumable stream may stall before it is resumed at another server.
	gapTimeoutFactor = 4
)

// errStreamEnd means that a stream ended inside an event, or with its connection before the first event.
var errStreamEnd = fmt.Errorf("stream ended inside an event or before the first one: %w", io.ErrUnexpectedEOF)

// newSplitter returns the splitter for a request's stream. If the caller resumes a stream, only the event after the last
// one that it has can be the first one. On a route whose streams can't be resumed, a server may ignore what the caller
// has.
func (q *request) newSplitter() *eventSplitter {
	last, err := parseEventNumber(q.meta.LastEvent)
	if err != nil {
		last = 0
	}
	position := eventPosition{last: last}
	if q.resumesStream() {
		position.numbering = numbered
	}
	return &eventSplitter{relayed: position, holdsUnnumbered: q.mayResume()}
}

// relayStream relays events as they arrive. It returns true if the stream
// should be resumed at another server.
func (q *request) relayStream(ctx context.Context, res attemptResult) (retry bool) {
	if q.stream == nil {
		q.stream = q.newSplitter()
	}
	q.stream.beginAttempt()
	err := q.copyEvents(ctx, res)
	if err == nil {
		q.recordAnswered(res.inFlight.Server)
		res.inFlight.End(time.Now(), placement.Served)
		q.outcome, q.status = answered, http.StatusOK
		return false
	}
	res.response.Close()
	if errors.Is(err, errTakenOver) {
		return q.relayTakenOver(ctx, res)
	}
	if errors.Is(err, errCallerWrite) {
		res.inFlight.End(time.Now(), placement.Abandoned)
		q.abort(left, err.Error())
		return false
	}
	if errors.Is(err, errStrayBytes) && q.w.Started() {
		q.stream.relayed.numbering = uncertain
	}
	return q.retryOrGiveUp(ctx, res, fmt.Errorf("stream broke off after event %d: %w", q.stream.relayed.last, err))
}

// relayTakenOver relays the stream from the server that has taken it up. The silent one has been closed.
func (q *request) relayTakenOver(ctx context.Context, silent attemptResult) (retry bool) {
	silent.inFlight.End(time.Now(), placement.Unreachable)
	next := q.takenOver
	q.takenOver = nil
	defer next.span.End()
	q.cfg.Log.Info("silent stream taken up", "request_id", q.meta.ID, "from", silent.inFlight.Server.ID, "server", next.inFlight.Server.ID,
		"after", q.stream.lastEventID())
	return q.relay(ctx, next.attemptResult)
}

// errCallerWrite marks errors of the connection to the caller, as opposed to
// the one to the server.
var errCallerWrite = errors.New("sending the response to the caller failed")

// copyEvents relays the events of one server until the stream ends.
func (q *request) copyEvents(ctx context.Context, res attemptResult) error {
	buf := make([]byte, streamReadBytes)
	res.response.SetReadTimeout(q.gapTimeout())
	res.response.OnSilence(q.onSilence(ctx))
	for {
		n, err := res.response.Read(buf)
		if n > 0 {
			if err := q.relayEvents(res, buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			if err := q.checkStreamEnd(ctx, res); err != nil {
				return err
			}
			return q.endStream(res)
		}
		if err != nil {
			return err
		}
	}
}

// gapTimeout returns how long the server may send no event: the response timeout
// before the first event and a multiple of the gap target afterwards. Zero
// means no limit, for streams that cannot be resumed at another server.
func (q *request) gapTimeout() time.Duration {
	if !q.route.Repeatable() || q.attempts >= q.route.MaxAttempts || !q.canContinue() {
		return 0
	}
	if !q.w.Started() {
		return q.firstByteTimeout()
	}
	return max(minReadTimeout, gapTimeoutFactor*q.route.GapTarget)
}

// relayEvents relays the events that the received bytes complete.
func (q *request) relayEvents(res attemptResult, p []byte) error {
	complete, orderErr := q.stream.push(p)
	if len(complete) == 0 {
		return orderErr
	}
	res.inFlight.RecordProgress(time.Now())
	q.countBegun(time.Now())
	before := q.attemptEvents
	q.attemptEvents += bytes.Count(complete, eventEnd)
	if before < provenEvents && q.attemptEvents >= provenEvents {
		q.recordAnswered(res.inFlight.Server)
	}
	q.beginStream(res.inFlight.Server)
	if err := q.writeEvents(res.response, complete); err != nil {
		return err
	}
	return orderErr
}

// writeEvents writes bytes of the stream to the caller, preceded by the
// response head if it was not written yet.
func (q *request) writeEvents(resp *upstream.Response, complete []byte) error {
	if !q.w.Started() {
		q.w.WriteHead(resp.Status, withoutHopByHop(resp.Header), framingOf(resp), resp.Length)
	}
	if _, err := q.w.Write(complete); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	q.stream.discard(len(complete))
	q.recordRelayed(time.Now())
	resp.SetReadTimeout(q.gapTimeout())
	return nil
}

// checkStreamEnd returns an error if a stream has been broken off: if it is numbered and ends inside an event, or if it
// ends with its connection and the server may not have ended it.
func (q *request) checkStreamEnd(ctx context.Context, res attemptResult) error {
	if q.stream.relayed.numbering == numbered && len(bytes.TrimSpace(q.stream.pending)) > 0 {
		return errStreamEnd
	}
	if res.response.Framing != upstream.UntilClose {
		return q.checkBodyEnd(ctx, res)
	}
	resumed := q.stream.relayed.numbering == numbered
	if len(q.stream.pending) > 0 || q.attemptEvents == 0 && !resumed {
		return errStreamEnd
	}
	return q.checkBodyEnd(ctx, res)
}

// endStream relays the bytes after the last complete event and ends the
// response.
func (q *request) endStream(res attemptResult) error {
	if rest := bytes.Clone(q.stream.pending); len(rest) > 0 || !q.w.Started() {
		if err := q.writeEvents(res.response, rest); err != nil {
			return err
		}
	}
	if err := q.w.End(); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}
