package test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinththread/jacinththread/internal/proof"
	"github.com/jacinththread/jacinththread/internal/standin/engine"
)

const (
	// tryTimeout is how long a caller waits for progress of a request before it
	// tries elsewhere.
	tryTimeout = 2 * time.Second
	// callBound is how long a caller goes on trying. It is no part of a
	// verdict: a call that reaches it is reported as not ended.
	callBound = 60 * time.Second
	// longestPause bounds the pause before a repeat.
	longestPause = 300 * time.Millisecond
	streamTokens = 40
)

// caller plays one caller by the rules: it repeats a call, with the same key,
// at one address after the other, until its answer is final.
type caller struct {
	d   *deployment
	rec *proof.Recorder
	// first is the daemon that the first request goes to.
	first int
	// started gets a token when the first byte of a stream arrived.
	started chan<- struct{}
	// elsewhere counts answers that were not final.
	elsewhere *atomic.Int64
}

var tries atomic.Int64

// outcome is what one request ended with.
type outcome struct {
	kind      proof.Kind
	status    int
	run       string
	requestID string
	got       string
	final     bool
	pause     time.Duration
}

// post posts once.
func (c *caller) post(call string) {
	path := "/postings/" + call
	c.rec.Add(proof.Event{Kind: proof.Submitted, Call: call, NonRepeatable: true, Want: path})
	c.repeat(call, true, func(ctx context.Context, addr string) outcome {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/services/"+postService+path, strings.NewReader(call))
		req.Header.Set("Idempotency-Key", call)
		return c.send(req, plainAnswer)
	})
}

// chat asks for a streamed completion.
func (c *caller) chat(call, class string) {
	messages := fmt.Sprintf(`[{"role":"user","content":%q}]`, call)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":%s}`, model, streamTokens, messages)
	c.rec.Add(proof.Event{Kind: proof.Submitted, Call: call, Want: engine.Text(model, messages, streamTokens)})
	c.repeat(call, false, func(ctx context.Context, addr string) outcome {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
		req.Header.Set("Jacinththread-Class", class)
		return c.send(req, c.streamAnswer)
	})
}

// repeat sends requests until one is final.
func (c *caller) repeat(call string, once bool, send func(ctx context.Context, addr string) outcome) {
	end := time.Now().Add(callBound)
	for n := 0; time.Now().Before(end); n++ {
		m := c.d.daemons[(c.first+n)%len(c.d.daemons)]
		try := "t" + strconv.FormatInt(tries.Add(1), 10)
		c.rec.Add(proof.Event{Kind: proof.Attempted, Call: call, Attempt: try, Daemon: m.name})
		o := send(context.Background(), m.callers)
		c.rec.Add(proof.Event{
			Kind: o.kind, Call: call, NonRepeatable: once, Attempt: try, Daemon: m.name,
			Status: o.status, Run: o.run, RequestID: o.requestID, Got: o.got,
		})
		if o.final {
			c.rec.Add(proof.Event{Kind: proof.Ended, Call: call})
			return
		}
		c.elsewhere.Add(1)
		time.Sleep(min(o.pause, longestPause))
	}
}

// send sends a request on a connection of its own and reads the answer.
func (c *caller) send(req *http.Request, read func(*http.Response, func()) (string, error)) outcome {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	idle := time.AfterFunc(tryTimeout, func() { cancel(errLeft) })
	defer idle.Stop()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req = req.WithContext(ctx)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Close = true
	resp, err := oneShot.Do(req)
	if err != nil {
		return failed(ctx, connected.Load())
	}
	defer resp.Body.Close()
	o := outcome{
		kind: proof.Answered, status: resp.StatusCode,
		run:       resp.Header.Get("Jacinththread-Run"),
		requestID: resp.Header.Get("Jacinththread-Request-Id"),
		pause:     retryAfter(resp),
	}
	if resp.StatusCode != http.StatusOK {
		return refused(resp, o)
	}
	o.got, err = read(resp, func() { idle.Reset(tryTimeout) })
	if err != nil {
		f := failed(ctx, true)
		f.requestID = o.requestID
		return f
	}
	o.final = true
	return o
}

// errLeft ends a request whose caller lost patience.
var errLeft = errors.New("caller left")

// oneShot follows no redirect and keeps no connection.
var oneShot = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// failed tells why no complete answer came.
func failed(ctx context.Context, connected bool) outcome {
	switch {
	case errors.Is(context.Cause(ctx), errLeft):
		return outcome{kind: proof.Abandoned}
	case !connected:
		return outcome{kind: proof.ConnectFailed, pause: longestPause}
	default:
		return outcome{kind: proof.Cut, pause: longestPause}
	}
}

// refused reads an answer that is an error. Only an unknown outcome is final.
func refused(resp *http.Response, o outcome) outcome {
	var doc struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		o.kind = proof.Cut
		return o
	}
	o.got = doc.Error.Code
	o.final = o.got == "outcome_unknown"
	return o
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// plainAnswer returns the path that the service says it ran.
func plainAnswer(resp *http.Response, _ func()) (string, error) {
	var doc struct {
		Path string `json:"path"`
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	err = json.Unmarshal(body, &doc)
	return doc.Path, err
}

// streamAnswer returns the text of a stream that has its terminal marker.
func (c *caller) streamAnswer(resp *http.Response, progress func()) (string, error) {
	var text strings.Builder
	var first sync.Once
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		progress()
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", err
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
		first.Do(c.noteStart)
	}
	return "", io.ErrUnexpectedEOF
}

func (c *caller) noteStart() {
	select {
	case c.started <- struct{}{}:
	default:
	}
}
