package forward

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"strconv"
)

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

var (
	errEventOrder  = errors.New("event does not follow the last one")
	errEventNumber = errors.New("event has no readable number")
	errEventSize   = errors.New("event is too long")
	// errStrayBytes means that bytes between two events are no event. They may belong to the event before them, so
	// that it isn't known whether the caller has that event.
	errStrayBytes = errors.New("bytes between events are no event")
)

// eventEnd is the empty line that ends an event.
var eventEnd = []byte("\n\n")

// eventSplitter splits a stream of server-sent events at event boundaries and tracks the position after the last event
// that was relayed. The zero value is at the beginning of a stream.
type eventSplitter struct {
	// relayed is the position after the last relayed event, from which the stream can be resumed.
	relayed eventPosition
	// pending holds the bytes that were received but not relayed yet.
	pending []byte
	// holdsUnnumbered delays a first event without a number until the next event shows that the stream isn't numbered.
	holdsUnnumbered bool
}

// lastEventID returns the value of Last-Event-ID for resuming the stream, or "" if no event is known to be the last one
// that the caller has.
func (e *eventSplitter) lastEventID() string {
	if e == nil || e.relayed.numbering != numbered || e.relayed.dataless {
		return ""
	}
	return strconv.FormatUint(e.relayed.last, 10)
}

// push appends received bytes and returns the complete events among the pending bytes, up to the first one that doesn't
// follow the one before, which is an error. They stay pending until discard.
func (e *eventSplitter) push(p []byte) ([]byte, error) {
	e.pending = append(e.pending, p...)
	position, n, held := e.relayed, 0, 0
	for event := range completeEvents(e.pending) {
		before := position.numbering
		if err := position.advance(event); err != nil {
			return e.pending[:n], err
		}
		held += len(event)
		if e.holdsUnnumbered && before == undecided && position.numbering == unnumbered {
			continue
		}
		n, held = n+held, 0
	}
	if n+held == 0 && len(e.pending) > maxEventBytes {
		return nil, errEventSize
	}
	return e.pending[:n], nil
}

// discard drops the first n pending bytes after they were relayed.
func (e *eventSplitter) discard(n int) {
	for event := range completeEvents(e.pending[:n]) {
		e.relayed.advance(event)
	}
	e.pending = append(e.pending[:0], e.pending[n:]...)
}

// beginAttempt drops what the previous server sent after the last relayed event.
func (e *eventSplitter) beginAttempt() { e.pending = e.pending[:0] }

// endsInsideEvent reports whether the pending bytes end inside an event.
func (e *eventSplitter) endsInsideEvent() bool {
	return len(e.pending) > 0 && !bytes.HasSuffix(e.pending, eventEnd)
}

// continuedBy reports whether the first bytes of another server's stream hold an event that follows the relayed ones. It
// returns an error if they hold one that doesn't.
func (e *eventSplitter) continuedBy(received []byte) (bool, error) {
	position := e.relayed
	for event := range completeEvents(received) {
		if err := position.advance(event); err != nil {
			return false, err
		}
		if position != e.relayed && !position.dataless {
			return true, nil
		}
	}
	if len(received) > maxEventBytes {
		return false, errEventSize
	}
	return false, nil
}

// completeEvents iterates over the complete events at the beginning of p.
func completeEvents(p []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for {
			end := bytes.Index(p, eventEnd)
			if end < 0 || !yield(p[:end+len(eventEnd)]) {
				return
			}
			p = p[end+len(eventEnd):]
		}
	}
}

// numbering tells whether the events of a stream have numbers.
type numbering uint8

const (
	// undecided streams have had no event yet.
	undecided numbering = iota
	// numbered streams have the events 1, 2, 3 and so on, each with its number as its ID. A resumed stream goes on with
	// the number after the last one that the caller has.
	numbered
	// unnumbered streams have events without IDs. They can't be resumed.
	unnumbered
	// uncertain is the numbering after bytes that are no event. The stream can't be resumed.
	uncertain
)

// eventPosition is a position in a stream between two events.
type eventPosition struct {
	numbering numbering
	// last is the number of the last event of a numbered stream. If the numbering is undecided, the stream may begin
	// after it or with its first event.
	last uint64
	// dataless is set if the last event has an ID and no data. The next event shows whether its data was cut off, so the
	// stream can't be resumed before.
	dataless bool
}

// advance moves the position behind an event. It fails if the event doesn't follow.
func (p *eventPosition) advance(event []byte) error {
	fields := parseEventFields(event)
	if fields.isComment() {
		return nil
	}
	switch {
	case fields.ids > 0:
		return p.advanceNumbered(fields)
	case p.numbering == undecided || p.numbering == unnumbered:
		p.numbering = unnumbered
		return nil
	case fields.data == 0:
		return errStrayBytes
	}
	return fmt.Errorf("%w: an event without an ID after %d", errEventNumber, p.last)
}

// advanceNumbered moves the position behind an event with an ID.
func (p *eventPosition) advanceNumbered(fields eventFields) error {
	number, err := fields.number()
	if err != nil {
		return err
	}
	follows := number > 0 && number-1 == p.last
	switch p.numbering {
	case undecided:
		follows = follows || number == 1
	case unnumbered, uncertain:
		follows = false
	}
	if !follows {
		return fmt.Errorf("%w: %d after %d", errEventOrder, number, p.last)
	}
	p.numbering, p.last, p.dataless = numbered, number, fields.data == 0
	return nil
}

// eventFields counts the fields of an event that tell its place in the stream.
type eventFields struct {
	// ids, data and others are the numbers of fields, id is the value of the last field id.
	ids, data, others int
	id                []byte
}

// parseEventFields parses an event as the standard on server-sent events says
// (https://html.spec.whatwg.org/multipage/server-sent-events.html).
func parseEventFields(event []byte) eventFields {
	var f eventFields
	for line := range bytes.Lines(event) {
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\n")), []byte(":"))
		switch string(name) {
		case "id":
			f.ids++
			f.id = bytes.TrimPrefix(value, []byte(" "))
		case "data":
			f.data++
		case "", "event", "retry": // An empty name is that of a comment or an empty line.
		default:
			f.others++
		}
	}
	return f
}

// isComment reports whether there is no event, as in comments that keep a connection open.
func (f eventFields) isComment() bool { return f.ids == 0 && f.data == 0 && f.others == 0 }

// number returns the number of an event with an ID.
func (f eventFields) number() (uint64, error) {
	if f.ids > 1 || f.data == 0 && f.others > 0 {
		return 0, fmt.Errorf("%w: it has %d IDs, %d fields of data and %d others", errEventNumber, f.ids, f.data, f.others)
	}
	return parseEventNumber(string(f.id))
}

// parseEventNumber returns the number that is the ID of an event.
func parseEventNumber(id string) (uint64, error) {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil || strconv.FormatUint(n, 10) != id {
		return 0, fmt.Errorf("%w: ID %q", errEventNumber, id)
	}
	return n, nil
}
