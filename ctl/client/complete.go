package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const (
	chatPath = "/v1/chat/completions"
	// maxEventLineBytes limits the length of one line of an event stream.
	maxEventLineBytes = 1 << 20
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Completion is a chat request.
type Completion struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chunk is an event of a stream or, with Message set, a complete response.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message *Message `json:"message"`
	} `json:"choices"`
	Error *RefusedError `json:"error"`
}

// Complete sends a chat request and passes each content chunk of the response to
// receive as it arrives. A nil error means that the response is complete.
func (c *Caller) Complete(ctx context.Context, q Completion, o Options, receive func(text string)) (Meta, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return Meta{}, trace.Wrap(err)
	}
	o.ContentType = "application/json"
	res, meta, err := c.Call(ctx, http.MethodPost, chatPath, body, o)
	if err != nil {
		return meta, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return meta, errorFromResponse(res)
	}
	if q.Stream {
		return meta, readStream(res.Body, receive)
	}
	return meta, readCompletion(res.Body, receive)
}

func readCompletion(r io.Reader, receive func(string)) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return trace.Wrap(ErrIncomplete, "%v", err)
	}
	var completion chunk
	if err := json.Unmarshal(data, &completion); err != nil {
		return trace.Wrap(err, "decoding the completion")
	}
	if len(completion.Choices) == 0 || completion.Choices[0].Message == nil {
		return errors.New("completion has no message")
	}
	receive(completion.Choices[0].Message.Content)
	return nil
}

// readStream reads server-sent events up to the [DONE] marker. It returns
// ErrIncomplete if the stream ends without the marker.
func readStream(r io.Reader, receive func(string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 4096), maxEventLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			// The transport reuses a connection only if the body was read to EOF.
			_, _ = io.Copy(io.Discard, r)
			return nil
		}
		var event chunk
		if err := json.Unmarshal(data, &event); err != nil {
			return trace.Wrap(err, "decoding a completion chunk")
		}
		if event.Error != nil {
			return event.Error
		}
		if len(event.Choices) > 0 && event.Choices[0].Delta.Content != "" {
			receive(event.Choices[0].Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return trace.Wrap(ErrIncomplete, "%v", err)
	}
	return ErrIncomplete
}

func dialContext(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return d.DialContext
}
