package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/upstream"
)

const (
	// streamReadBytes is the size of the buffer for a stream's events.
	streamReadBytes = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// gapSilence is how many times the pause objective a resumable stream may
	// be silent before it goes on at another server.
	gapSilence = 4
)

var (
	errEventOrder = errors.New("event does not follow the last one")
	errEventSize  = errors.New("event is too long")
)

// events cuts a stream into events and remembers the last one passed on.
type events struct {
	// last is the ID of the last event passed on.
	last    int64
	any     bool
	pending []byte
}

// resumePoint is the ID of the last event passed on, or "".
func (e *events) resumePoint() string {
	if e == nil || !e.any {
		return ""
	}
	return strconv.FormatInt(e.last, 10)
}

// add takes bytes of the stream and returns the whole events among all bytes
// that were not returned yet.
func (e *events) add(p []byte) ([]byte, error) {
	e.pending = append(e.pending, p...)
	end := bytes.LastIndex(e.pending, []byte("\n\n"))
	if end < 0 {
		if len(e.pending) > maxEventBytes {
			return nil, errEventSize
		}
		return nil, nil
	}
	whole := e.pending[:end+2]
	if err := e.check(whole); err != nil {
		return nil, err
	}
	return whole, nil
}

// taken drops bytes that add returned.
func (e *events) taken(n int) { e.pending = append(e.pending[:0], e.pending[n:]...) }

// check verifies that the IDs of whole events grow by one.
func (e *events) check(whole []byte) error {
	for line := range bytes.Lines(whole) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			continue // IDs that are no numbers have no order to check.
		}
		if e.any && id != e.last+1 {
			return fmt.Errorf("%w: %d after %d", errEventOrder, id, e.last)
		}
		e.last, e.any = id, true
	}
	return nil
}

// relayStream passes events on as they come. It reports true if the stream is
// to go on at another server.
func (q *request) relayStream(ctx context.Context, t try) (again bool) {
	if q.stream == nil {
		q.stream = &events{}
	}
	q.stream.pending = q.stream.pending[:0] // Drops a broken event.
	err := q.copyEvents(t)
	if err == nil {
		t.flight.End(time.Now(), placement.Served)
		q.outcome, q.status = answered, http.StatusOK
		return false
	}
	t.answer.Close()
	if errors.Is(err, errCaller) {
		t.flight.End(time.Now(), placement.Abandoned)
		q.abort(left, err.Error())
		return false
	}
	return q.retryOrGiveUp(ctx, t, fmt.Errorf("stream broke off after event %d: %w", q.stream.last, err))
}

var errCaller = errors.New("caller does not take the answer")

// copyEvents reads the stream to its end.
func (q *request) copyEvents(t try) error {
	buf := make([]byte, streamReadBytes)
	for {
		t.answer.LimitSilence(q.gapLimit())
		n, err := t.answer.Read(buf)
		if n > 0 {
			if err := q.passEvents(t, buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return q.endStream(t)
		}
		if err != nil {
			return err
		}
	}
}

// gapLimit bounds the silence between events if the stream may go on elsewhere.
func (q *request) gapLimit() time.Duration {
	silence := q.silence()
	if silence == 0 || !q.stream.any {
		return silence
	}
	return max(minSilence, gapSilence*q.route.GapTarget)
}

// passEvents sends the whole events among the bytes read.
func (q *request) passEvents(t try, p []byte) error {
	whole, err := q.stream.add(p)
	if err != nil || len(whole) == 0 {
		return err
	}
	t.flight.Heard(time.Now())
	return q.writeEvents(t.answer, whole)
}

func (q *request) writeEvents(a *upstream.Answer, whole []byte) error {
	if !q.w.Started() {
		q.w.Head(a.Status, withoutHopByHop(a.Header), framingOf(a), a.Length)
	}
	if _, err := q.w.Write(whole); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	q.stream.taken(len(whole))
	q.notePassed(time.Now())
	return nil
}

// endStream completes the answer with what the server sent after its last
// event.
func (q *request) endStream(t try) error {
	if rest := bytes.Clone(q.stream.pending); len(rest) > 0 || !q.w.Started() {
		if err := q.writeEvents(t.answer, rest); err != nil {
			return err
		}
	}
	if err := q.w.End(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
}
