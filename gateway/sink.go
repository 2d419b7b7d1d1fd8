package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinththread/jacinththread/dispatch"
)

// writeTimeout bounds how long a caller may take to receive one event.
const writeTimeout = 30 * time.Second

func fieldIndex(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

// sink passes the events of an answer on to the caller.
type sink interface {
	// event takes the next event. An error means the caller is gone.
	event(ev dispatch.Event) error
	// end completes the answer.
	end() error
	// abort tells the caller that the answer ends early, if it has begun.
	abort(e *Error)
}

// streamSink relays events as they come.
type streamSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	req     *request
}

func newStreamSink(w http.ResponseWriter, req *request) *streamSink {
	return &streamSink{w: w, control: http.NewResponseController(w), req: req}
}

func (s *streamSink) event(ev dispatch.Event) error {
	if !s.req.begun {
		s.begin()
	}
	if err := s.write(ev.Data); err != nil || ev.More {
		return err
	}
	return s.control.Flush()
}

func (s *streamSink) begin() {
	s.req.begun = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRun, string(Ran))
	s.w.WriteHeader(http.StatusOK)
}

// write buffers one event. The server sends what is buffered when the handler
// returns.
func (s *streamSink) write(data []byte) error {
	// Not every ResponseWriter of a test supports deadlines.
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := fmt.Fprintf(s.w, "data: %s\n\n", data)
	return err
}

func (s *streamSink) end() error {
	if !s.req.begun {
		s.begin()
	}
	return s.write([]byte("[DONE]"))
}

func (s *streamSink) abort(e *Error) {
	if !s.req.begun {
		return
	}
	data, err := json.Marshal(e.body(s.req.run))
	if err != nil {
		return
	}
	// The connection is closed next, whether the caller reads this or not.
	if s.write(data) == nil {
		_ = s.control.Flush()
	}
}

// wholeSink collects the events into one document.
type wholeSink struct {
	w      http.ResponseWriter
	req    *request
	chat   bool
	text   strings.Builder
	last   dispatch.Chunk
	reason string
	usage  json.RawMessage
}

func newWholeSink(w http.ResponseWriter, req *request, chat bool) *wholeSink {
	return &wholeSink{w: w, req: req, chat: chat, reason: "stop"}
}

func (s *wholeSink) event(ev dispatch.Event) error {
	s.text.WriteString(ev.Chunk.Text())
	s.last = ev.Chunk
	if len(ev.Chunk.Usage) > 0 {
		s.usage = ev.Chunk.Usage
	}
	for _, c := range ev.Chunk.Choices {
		if c.FinishReason != nil {
			s.reason = *c.FinishReason
		}
	}
	return nil
}

// wholeAnswer is the JSON form of a completion that was not streamed.
type wholeAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Message      *wholeMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *wholeSink) end() error {
	text := s.text.String()
	choice := wholeChoice{FinishReason: s.reason}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = &wholeMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	s.req.begun = true
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(HeaderRun, string(Ran))
	return json.NewEncoder(s.w).Encode(wholeAnswer{
		ID:      s.last.ID,
		Object:  object,
		Model:   s.last.Model,
		Choices: []wholeChoice{choice},
		Usage:   s.usage,
	})
}

func (s *wholeSink) abort(*Error) {}
