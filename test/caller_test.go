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
	// attemptTimeout is how long a caller waits for progress of a request before it
	// retries at another daemon.
	attemptTimeout = 2 * time.Second
	// callTimeout limits how long a caller retries. No invariant depends on its
	// value: a call that reaches it is reported as not ended.
	callTimeout = 60 * time.Second
	// maxRetryDelay limits the delay before a retry.
	maxRetryDelay = 300 * time.Millisecond
	streamTokens  = 40
)

// caller is a client that follows the retry rules for callers: it sends a call,
// with the same key, to one daemon after the other until the outcome is final.
type caller struct {
	d   *deployment
	rec *proof.Recorder
	// first is the index of the daemon that receives the first request.
	first int
	// started receives a value when the first chunk of a stream has arrived.
	started chan<- struct{}
	// retries counts attempts whose outcome was not final.
	retries *atomic.Int64
}

var attemptCount atomic.Int64

// outcome is the result of one request.
type outcome struct {
	kind       proof.Kind
	status     int
	run        string
	requestID  string
	got        string
	final      bool
	retryDelay time.Duration
}

// post sends a non-repeatable call to the plain service until its outcome is
// final.
func (c *caller) post(call string) {
	path := "/postings/" + call
	c.rec.Add(proof.Event{Kind: proof.Submitted, Call: call, NonRepeatable: true, Want: path})
	c.retry(call, true, func(ctx context.Context, addr string) outcome {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/services/"+postService+path, strings.NewReader(call))
		req.Header.Set("Idempotency-Key", call)
		return c.send(req, readPlainResponse)
	})
}

// chat requests a streamed completion until its outcome is final.
func (c *caller) chat(call, class string) {
	messages := fmt.Sprintf(`[{"role":"user","content":%q}]`, call)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":%s}`, model, streamTokens, messages)
	c.rec.Add(proof.Event{Kind: proof.Submitted, Call: call, Want: engine.Text(model, messages, streamTokens)})
	c.retry(call, false, func(ctx context.Context, addr string) outcome {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
		req.Header.Set("Jacinththread-Class", class)
		return c.send(req, c.readStream)
	})
}

// retry sends requests until the outcome of one is final or callTimeout is over.
func (c *caller) retry(call string, nonRepeatable bool, send func(ctx context.Context, addr string) outcome) {
	end := time.Now().Add(callTimeout)
	for n := 0; time.Now().Before(end); n++ {
		m := c.d.daemons[(c.first+n)%len(c.d.daemons)]
		attempt := "t" + strconv.FormatInt(attemptCount.Add(1), 10)
		c.rec.Add(proof.Event{Kind: proof.Attempted, Call: call, Attempt: attempt, Daemon: m.name})
		o := send(context.Background(), m.callerAddr)
		c.rec.Add(proof.Event{
			Kind: o.kind, Call: call, NonRepeatable: nonRepeatable, Attempt: attempt, Daemon: m.name,
			Status: o.status, Run: o.run, RequestID: o.requestID, Got: o.got,
		})
		if o.final {
			c.rec.Add(proof.Event{Kind: proof.Ended, Call: call})
			return
		}
		c.retries.Add(1)
		time.Sleep(min(o.retryDelay, maxRetryDelay))
	}
}

// send sends a request on a new connection and reads the response. The request
// is canceled if it makes no progress within attemptTimeout.
func (c *caller) send(req *http.Request, read func(*http.Response, func()) (string, error)) outcome {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	idle := time.AfterFunc(attemptTimeout, func() { cancel(errNoProgress) })
	defer idle.Stop()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req = req.WithContext(ctx)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Close = true
	resp, err := httpClient.Do(req)
	if err != nil {
		return incompleteOutcome(ctx, connected.Load())
	}
	defer resp.Body.Close()
	o := outcome{
		kind: proof.Answered, status: resp.StatusCode,
		run:        resp.Header.Get("Jacinththread-Run"),
		requestID:  resp.Header.Get("Jacinththread-Request-Id"),
		retryDelay: retryAfter(resp),
	}
	if resp.StatusCode != http.StatusOK {
		return errorOutcome(resp, o)
	}
	o.got, err = read(resp, func() { idle.Reset(attemptTimeout) })
	if err != nil {
		f := incompleteOutcome(ctx, true)
		f.requestID = o.requestID
		return f
	}
	o.final = true
	return o
}

// errNoProgress cancels a request that made no progress within attemptTimeout.
var errNoProgress = errors.New("no progress within the attempt timeout")

// httpClient is a client that follows no redirects and reuses no connections.
var httpClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// incompleteOutcome returns the outcome of a request without a complete response.
func incompleteOutcome(ctx context.Context, connected bool) outcome {
	switch {
	case errors.Is(context.Cause(ctx), errNoProgress):
		return outcome{kind: proof.Abandoned}
	case !connected:
		return outcome{kind: proof.ConnectFailed, retryDelay: maxRetryDelay}
	default:
		return outcome{kind: proof.Cut, retryDelay: maxRetryDelay}
	}
}

// errorOutcome completes the outcome of a request with an error response. Of the
// error codes only outcome_unknown is final.
func errorOutcome(resp *http.Response, o outcome) outcome {
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

// readPlainResponse returns the path in the response of the plain service.
func readPlainResponse(resp *http.Response, _ func()) (string, error) {
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

// readStream returns the text of a stream. A stream that ends without its
// terminal marker is an error.
func (c *caller) readStream(resp *http.Response, progress func()) (string, error) {
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
		first.Do(c.signalStarted)
	}
	return "", io.ErrUnexpectedEOF
}

func (c *caller) signalStarted() {
	select {
	case c.started <- struct{}{}:
	default:
	}
}
