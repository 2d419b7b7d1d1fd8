package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/jacinththread/jacinththread/membership"
)

const (
	maxEventBytes   = 1 << 20
	readBufferBytes = 4 << 10
)

// Choice is one alternative in a chunk of an answer.
type Choice struct {
	Index int `json:"index"`
	Delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	} `json:"delta"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason,omitempty"`
}

// Chunk is the part of a streamed event that the router reads.
type Chunk struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Model  string `json:"model"`
	// Offset is the index of the chunk's first token, if the engine gives it.
	Offset *int `json:"offset,omitempty"`
	// Tokens is the number of tokens in the chunk; absent means one.
	Tokens  *int            `json:"tokens,omitempty"`
	Choices []Choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// Text returns the text the chunk adds to the first choice.
func (c *Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Text
}

func (c *Chunk) count() int {
	if c.Tokens == nil {
		return 1
	}
	return *c.Tokens
}

// Event is one server-sent event of a stream.
type Event struct {
	// Data is the event as the engine sent it.
	Data  []byte
	Chunk Chunk
	// More is set if another whole event has been received already.
	More bool
}

// Timing is what was observed of a stream.
type Timing struct {
	// First is the time from dispatch to the first token.
	First time.Duration
	// Gap is the mean time between tokens.
	Gap    time.Duration
	Tokens int
}

// Stream is an open streamed answer of an engine. It is used by one goroutine.
type Stream struct {
	client *Client
	server string
	ctx    context.Context
	resp   *response
	reader *bufio.Reader
	next   int
	from   int
	opened time.Time
	first  time.Time
	last   time.Time
}

// OpenStream sends a call whose answer is a stream that starts at a token
// offset.
func (c *Client) OpenStream(ctx context.Context, srv membership.Server, call Call, offset int) (*Stream, error) {
	opened := time.Now()
	resp, err := c.open(ctx, srv, call, c.patience.first(srv.Name))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.close()
		return nil, trace.Wrap(refusal(resp), "server %s", srv.Name)
	}
	return &Stream{
		client: c,
		server: srv.Name,
		ctx:    resp.Request.Context(),
		resp:   resp,
		reader: bufio.NewReaderSize(resp.Body, readBufferBytes),
		next:   offset,
		from:   offset,
		opened: opened,
	}, nil
}

// Next returns the next event. It returns io.EOF after the terminal marker and
// ErrBroken if the stream ends before.
func (s *Stream) Next() (Event, error) {
	data, err := s.readData()
	if err != nil {
		return Event{}, trace.Wrap(s.failure(err), "server %s", s.server)
	}
	if bytes.Equal(data, []byte("[DONE]")) {
		return Event{}, io.EOF
	}
	ev := Event{Data: data, More: s.buffered()}
	if err := json.Unmarshal(data, &ev.Chunk); err != nil {
		return Event{}, trace.Wrap(fmt.Errorf("%w: %v", ErrBroken, err), "server %s", s.server)
	}
	if err := s.advance(&ev.Chunk); err != nil {
		return Event{}, trace.Wrap(err, "server %s", s.server)
	}
	return ev, nil
}

// buffered reports whether a whole event waits in the read buffer.
func (s *Stream) buffered() bool {
	// Peeking what is buffered reads nothing and never fails.
	waiting, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.Contains(waiting, []byte("\n\n"))
}

// failure tells why a read ended early.
func (s *Stream) failure(err error) error {
	return s.client.classify(s.ctx, err, true)
}

// advance checks the token offset of a chunk and notes its time.
func (s *Stream) advance(c *Chunk) error {
	if c.Text() == "" {
		return nil
	}
	if c.Offset != nil && *c.Offset != s.next {
		return fmt.Errorf("%w: expected token %d, got %d", ErrOffset, s.next, *c.Offset)
	}
	if c.Offset == nil && s.from > 0 && s.next == s.from {
		return fmt.Errorf("%w: the resumed stream carries no offset", ErrOffset)
	}
	s.next += c.count()
	s.last = time.Now()
	if s.first.IsZero() {
		s.first = s.last
		s.resp.watch.setLimit(s.client.patience.gap(s.server))
	}
	return nil
}

// Offset returns the index of the next expected token.
func (s *Stream) Offset() int { return s.next }

// readData returns the data of the next event, without comments.
func (s *Stream) readData() ([]byte, error) {
	var data []byte
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		s.resp.watch.progress()
		switch {
		case len(line) == 0 && data != nil:
			return data, nil
		case bytes.HasPrefix(line, []byte("data:")):
			value := bytes.TrimPrefix(line[len("data:"):], []byte(" "))
			if data != nil {
				data = append(data, '\n')
			}
			data = append(data, value...)
		}
		if len(data) > maxEventBytes {
			return nil, fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
	}
}

func (s *Stream) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, fmt.Errorf("line exceeds %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return bytes.TrimRight(line, "\r\n"), err
	}
}

// Timing returns what was observed so far.
func (s *Stream) Timing() Timing {
	t := Timing{Tokens: s.next - s.from}
	if !s.first.IsZero() {
		t.First = s.first.Sub(s.opened)
	}
	if t.Tokens > 1 {
		t.Gap = s.last.Sub(s.first) / time.Duration(t.Tokens-1)
	}
	return t
}

// Close ends the stream. A stream closed before its end is canceled at the
// engine by closing the connection.
func (s *Stream) Close() {
	s.resp.close()
	t := s.Timing()
	if t.Tokens > 0 {
		s.client.patience.observe(s.server, t.First, t.Gap)
	}
}
