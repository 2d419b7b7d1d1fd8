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

// Choice is one of the alternative completions in a chunk.
type Choice struct {
	Index int `json:"index"`
	Delta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	} `json:"delta"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason,omitempty"`
}

// Chunk holds the fields of a streamed event that the router reads. Other fields
// are passed through in Event.Data.
type Chunk struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Model  string `json:"model"`
	// Offset is the index of the chunk's first token. Engines may omit it, except
	// in the first chunk of a resumed stream that has text.
	Offset *int `json:"offset,omitempty"`
	// Tokens is the number of tokens in the chunk. If it is absent, the chunk has
	// one token.
	Tokens  *int            `json:"tokens,omitempty"`
	Choices []Choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// Text returns the text that the chunk appends to the first choice.
func (c *Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Text
}

func (c *Chunk) tokenCount() int {
	if c.Tokens == nil {
		return 1
	}
	return *c.Tokens
}

// Event is one server-sent event of a stream.
type Event struct {
	// Data is the unmodified data field of the event.
	Data  []byte
	Chunk Chunk
	// MoreBuffered is set if the read buffer holds another complete event.
	MoreBuffered bool
}

// Timing holds the token count and latencies of a stream.
type Timing struct {
	// First is the time from dispatch to the first token.
	First time.Duration
	// Gap is the mean time between tokens.
	Gap    time.Duration
	Tokens int
}

// Stream reads a streamed response of an engine. It must be used by one
// goroutine only.
type Stream struct {
	client       *Client
	server       string
	ctx          context.Context
	resp         *openResponse
	reader       *bufio.Reader
	nextToken    int
	startToken   int
	openedAt     time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
}

// OpenStream sends a call and returns its streamed response. The stream must
// start at the token with index offset.
func (c *Client) OpenStream(ctx context.Context, srv membership.Server, call Call, offset int) (*Stream, error) {
	opened := time.Now()
	resp, err := c.open(ctx, srv, call, c.timeouts.firstToken(srv.Name))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.close()
		return nil, trace.Wrap(readErrorResponse(resp), "server %s", srv.Name)
	}
	return &Stream{
		client:     c,
		server:     srv.Name,
		ctx:        resp.Request.Context(),
		resp:       resp,
		reader:     bufio.NewReaderSize(resp.Body, readBufferBytes),
		nextToken:  offset,
		startToken: offset,
		openedAt:   opened,
	}, nil
}

// Next returns the next event. It returns io.EOF at the terminal marker [DONE]
// and ErrIncomplete if the stream ends before it.
func (s *Stream) Next() (Event, error) {
	data, err := s.readData()
	if err != nil {
		return Event{}, trace.Wrap(s.classifyReadError(err), "server %s", s.server)
	}
	if bytes.Equal(data, []byte("[DONE]")) {
		return Event{}, io.EOF
	}
	ev := Event{Data: data, MoreBuffered: s.hasBufferedEvent()}
	if err := json.Unmarshal(data, &ev.Chunk); err != nil {
		return Event{}, trace.Wrap(fmt.Errorf("%w: %v", ErrIncomplete, err), "server %s", s.server)
	}
	if err := s.advance(&ev.Chunk); err != nil {
		return Event{}, trace.Wrap(err, "server %s", s.server)
	}
	return ev, nil
}

// hasBufferedEvent reports whether the read buffer holds a complete event.
func (s *Stream) hasBufferedEvent() bool {
	// Peek does not read or fail if the bytes are buffered.
	waiting, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.Contains(waiting, []byte("\n\n"))
}

// classifyReadError maps an error while reading the stream to an error of this
// package.
func (s *Stream) classifyReadError(err error) error {
	return s.client.classifyError(s.ctx, err, true)
}

// advance checks the place of a chunk and records when its tokens arrived. The first token of a stream switches the
// watchdog to the timeout between tokens.
func (s *Stream) advance(c *Chunk) error {
	if err := s.checkOffset(c); err != nil {
		return err
	}
	if c.Text() == "" {
		return nil
	}
	s.nextToken += c.tokenCount()
	s.lastTokenAt = time.Now()
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = s.lastTokenAt
		s.resp.watchdog.setTimeout(s.client.timeouts.tokenGap(s.server))
	}
	return nil
}

// checkOffset checks that a chunk starts at the next token. If it doesn't and the stream has had tokens, either this chunk
// or the token count of the one before is wrong.
func (s *Stream) checkOffset(c *Chunk) error {
	switch {
	case c.Text() != "" && c.tokenCount() < 1:
		return fmt.Errorf("%w: a chunk with text has %d tokens", ErrIncomplete, c.tokenCount())
	case c.Offset != nil && *c.Offset != s.nextToken && s.nextToken > s.startToken:
		return fmt.Errorf("%w: expected token %d, got %d", ErrContradictoryOffset, s.nextToken, *c.Offset)
	case c.Offset != nil && *c.Offset != s.nextToken:
		return fmt.Errorf("%w: expected token %d, got %d", ErrUnexpectedOffset, s.nextToken, *c.Offset)
	case c.Offset == nil && c.Text() != "" && s.startToken > 0 && s.nextToken == s.startToken:
		return fmt.Errorf("%w: first chunk of a resumed stream has no offset", ErrUnexpectedOffset)
	}
	return nil
}

// Offset returns the index of the next token.
func (s *Stream) Offset() int { return s.nextToken }

// readData returns the data field of the next server-sent event. Other fields of the standard and comments are skipped,
// but count as progress. A line that is none of them may be a spoiled field of data.
func (s *Stream) readData() ([]byte, error) {
	var data []byte
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		s.resp.watchdog.progress()
		switch {
		case len(line) == 0 && data != nil:
			return data, nil
		case bytes.HasPrefix(line, []byte("data:")):
			value := bytes.TrimPrefix(line[len("data:"):], []byte(" "))
			if data != nil {
				data = append(data, '\n')
			}
			data = append(data, value...)
		case !isSkippedLine(line):
			return nil, fmt.Errorf("%w: line %.40q is no field of an event", ErrIncomplete, line)
		}
		if len(data) > maxEventBytes {
			return nil, fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
	}
}

// isSkippedLine reports whether a line is empty, a comment or a field of an event that the router doesn't use.
func isSkippedLine(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "event", "id", "retry":
		return true
	}
	return false
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

// Timing returns the token count and latencies so far.
func (s *Stream) Timing() Timing {
	t := Timing{Tokens: s.nextToken - s.startToken}
	if !s.firstTokenAt.IsZero() {
		t.First = s.firstTokenAt.Sub(s.openedAt)
	}
	if t.Tokens > 1 {
		t.Gap = s.lastTokenAt.Sub(s.firstTokenAt) / time.Duration(t.Tokens-1)
	}
	return t
}

// Close closes the stream and records its timing. Closing a stream before its end
// closes the connection, which makes the engine cancel the request.
func (s *Stream) Close() {
	s.resp.close()
	t := s.Timing()
	if t.Tokens > 0 {
		s.client.timeouts.observe(s.server, t.First, t.Gap)
	}
}
