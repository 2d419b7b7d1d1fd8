package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/jacinththread/jacinththread/dispatch"
)

// writeTimeout limits the time to write one event to the caller.
const writeTimeout = 30 * time.Second

// sink writes the events of a completion to the caller.
type sink interface {
	// event processes the next event. An error means that the caller disconnected
	// or does not read the response.
	event(ev dispatch.Event) error
	// end completes the response.
	end() error
	// abort writes an error event if the response has started.
	abort(e *Error)
}

// streamSink relays events to the caller as they arrive.
type streamSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	req     *request
}

func newStreamSink(w http.ResponseWriter, req *request) *streamSink {
	return &streamSink{w: w, control: http.NewResponseController(w), req: req}
}

func (s *streamSink) event(ev dispatch.Event) error {
	if !s.req.responseStarted {
		s.begin()
	}
	if err := s.write(ev.Data); err != nil || ev.MoreBuffered {
		return err
	}
	return s.control.Flush()
}

// begin writes the response header.
func (s *streamSink) begin() {
	s.req.responseStarted = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRun, string(Ran))
	s.w.WriteHeader(http.StatusOK)
}

// write writes one event without flushing it. net/http flushes its buffer when the
// handler returns.
func (s *streamSink) write(data []byte) error {
	// ResponseWriters of tests may not support deadlines.
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := fmt.Fprintf(s.w, "data: %s\n\n", data)
	return err
}

func (s *streamSink) end() error {
	if !s.req.responseStarted {
		s.begin()
	}
	return s.write([]byte("[DONE]"))
}

func (s *streamSink) abort(e *Error) {
	if !s.req.responseStarted {
		return
	}
	data, err := json.Marshal(e.body(s.req.runState))
	if err != nil {
		return
	}
	// Errors are ignored, because the connection is closed afterwards anyway.
	if s.write(data) == nil {
		_ = s.control.Flush()
	}
}

// bufferedSink collects the events into one JSON response.
type bufferedSink struct {
	w            http.ResponseWriter
	req          *request
	chat         bool
	text         strings.Builder
	last         dispatch.Chunk
	finishReason string
	usage        json.RawMessage
}

func newBufferedSink(w http.ResponseWriter, req *request, chat bool) *bufferedSink {
	return &bufferedSink{w: w, req: req, chat: chat, finishReason: "stop"}
}

func (s *bufferedSink) event(ev dispatch.Event) error {
	s.text.WriteString(ev.Chunk.Text())
	s.last = ev.Chunk
	if len(ev.Chunk.Usage) > 0 {
		s.usage = ev.Chunk.Usage
	}
	for _, c := range ev.Chunk.Choices {
		if c.FinishReason != nil {
			s.finishReason = *c.FinishReason
		}
	}
	return nil
}

// completionResponse is the JSON form of a completion that is not streamed.
type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      *completionMessage `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *bufferedSink) end() error {
	text := s.text.String()
	choice := completionChoice{FinishReason: s.finishReason}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	s.req.responseStarted = true
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(HeaderRun, string(Ran))
	return json.NewEncoder(s.w).Encode(completionResponse{
		ID:      s.last.ID,
		Object:  object,
		Model:   s.last.Model,
		Choices: []completionChoice{choice},
		Usage:   s.usage,
	})
}

func (s *bufferedSink) abort(*Error) {}
