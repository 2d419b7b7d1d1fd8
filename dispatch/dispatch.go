// Package dispatch carries granted requests to backend servers over HTTP and
// reads their answers. It retries nothing by itself.
package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/rcrowley/go-metrics"
)

const (
	dialTimeout          = 2 * time.Second
	idleTimeout          = 60 * time.Second
	maxIdlePerServer     = 64
	maxErrorBodyBytes    = 64 << 10
	maxResponseHeadBytes = 64 << 10
)

// Config configures a Client.
type Config struct {
	// Silence is the longest wait for progress of a call.
	Silence time.Duration
	Metrics metrics.Registry
	// Dial opens connections; nil uses TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client sends calls to backend servers. It is safe for concurrent use.
type Client struct {
	repeatable *http.Client
	once       *http.Client
	silence    time.Duration
	patience   *patienceTable

	opened  metrics.Counter
	silent  metrics.Counter
	broken  metrics.Counter
	notSent metrics.Counter
}

// New returns a client.
func New(cfg Config) *Client {
	var dial dialFunc = cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{
		repeatable: newHTTPClient(dial, true),
		once:       newHTTPClient(dial, false),
		silence:    cfg.Silence,
		patience:   newPatienceTable(cfg.Silence),
		opened:     metrics.NewRegisteredCounter("dispatch.opened", cfg.Metrics),
		silent:     metrics.NewRegisteredCounter("dispatch.silent", cfg.Metrics),
		broken:     metrics.NewRegisteredCounter("dispatch.broken", cfg.Metrics),
		notSent:    metrics.NewRegisteredCounter("dispatch.not_sent", cfg.Metrics),
	}
}

// newHTTPClient returns a client that follows no redirects. With keepAlive its
// transport may send a request a second time when a reused connection turns
// out to be closed; without, each request has its own connection and is sent
// once.
func newHTTPClient(dial dialFunc, keepAlive bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      !keepAlive,
			MaxIdleConnsPerHost:    maxIdlePerServer,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
			DisableCompression:     true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close releases idle connections.
func (c *Client) Close() { c.repeatable.CloseIdleConnections() }

// Call is one request to a backend server.
type Call struct {
	Method string
	// Path is the path and query.
	Path   string
	Header http.Header
	Body   []byte
	// Once sends the request on a connection of its own, so that the transport
	// never sends it a second time.
	Once bool
}

// response is an open answer whose reads are watched for progress.
type response struct {
	*http.Response
	watch  *watchdog
	cancel context.CancelCauseFunc
}

func (r *response) close() {
	r.watch.stop()
	r.cancel(context.Canceled)
	r.Body.Close()
}

// open sends the call and waits for the head of the answer.
func (c *Client) open(ctx context.Context, srv membership.Server, call Call, first time.Duration) (*response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := newWatchdog(first, func() { cancel(ErrSilent) })
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(traced, call.Method, "http://"+srv.Addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		watch.stop()
		cancel(err)
		return nil, trace.Wrap(err)
	}
	req.Header = call.Header
	client := c.repeatable
	if call.Once {
		client = c.once
	}
	c.opened.Inc(1)
	resp, err := client.Do(req)
	if err != nil {
		watch.stop()
		err = c.classify(ctx, err, connected.Load())
		cancel(err)
		return nil, trace.Wrap(err, "server %s", srv.Name)
	}
	watch.progress()
	return &response{Response: resp, watch: watch, cancel: cancel}, nil
}

// classify turns a transport error into an error of this package. The cause of
// ctx tells a silent server from a caller that went away.
func (c *Client) classify(ctx context.Context, err error, connected bool) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrSilent) && connected:
		c.silent.Inc(1)
		return ErrSilent
	case !connected && (cause == nil || errors.Is(cause, ErrSilent)):
		c.notSent.Inc(1)
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	case cause != nil:
		return cause
	}
	c.broken.Inc(1)
	return fmt.Errorf("%w: %v", ErrBroken, err)
}

// refusal reads an answer that is no success and returns it as an error.
func refusal(resp *response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrBroken, err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return unavailable(body)
	}
	return &StatusError{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
}

// unavailable tells a leaving server from a busy one.
func unavailable(body []byte) error {
	var doc struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &doc) == nil && doc.Error.Code == "draining" {
		return ErrDraining
	}
	return ErrBusy
}
