// Package dispatch sends requests that hold a slot to backend servers over HTTP
// and reads the responses. It does not retry; the caller of the package does.
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
	"github.com/jacinththread/jacinththread/httpcheck"
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
	// MaxProgressTimeout is the upper bound of the time that a call may go without
	// progress. For streams, shorter timeouts are derived from observed waits.
	MaxProgressTimeout time.Duration
	Metrics            metrics.Registry
	// Dial opens connections. If it is nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client sends calls to backend servers. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections; singleUse opens one for each call.
	pooled          *http.Client
	singleUse       *http.Client
	progressTimeout time.Duration
	timeouts        *progressTimeouts

	dispatched   metrics.Counter
	timedOut     metrics.Counter
	incomplete   metrics.Counter
	malformed    metrics.Counter
	endsUnknown  metrics.Counter
	notConnected metrics.Counter
}

// New returns a Client for the given configuration.
func New(cfg Config) *Client {
	var dial dialFunc = cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{
		pooled:          newHTTPClient(dial, true),
		singleUse:       newHTTPClient(dial, false),
		progressTimeout: cfg.MaxProgressTimeout,
		timeouts:        newProgressTimeouts(cfg.MaxProgressTimeout),
		dispatched:      metrics.NewRegisteredCounter("dispatch.opened", cfg.Metrics),
		timedOut:        metrics.NewRegisteredCounter("dispatch.silent", cfg.Metrics),
		incomplete:      metrics.NewRegisteredCounter("dispatch.broken", cfg.Metrics),
		malformed:       metrics.NewRegisteredCounter("dispatch.malformed", cfg.Metrics),
		endsUnknown:     metrics.NewRegisteredCounter("dispatch.ends_unknown", cfg.Metrics),
		notConnected:    metrics.NewRegisteredCounter("dispatch.not_sent", cfg.Metrics),
	}
}

// newHTTPClient returns an HTTP client that does not follow redirects. With
// keepAlive, the transport of net/http may resend a request when a reused
// connection turns out to be closed. Without keepAlive, each request has its own
// connection and is sent exactly once.
func newHTTPClient(dial dialFunc, keepAlive bool) *http.Client {
	return &http.Client{
		Transport: httpcheck.NewTransport(&http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      !keepAlive,
			MaxIdleConnsPerHost:    maxIdlePerServer,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeadBytes,
			DisableCompression:     true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Call is one request to a backend server.
type Call struct {
	Method string
	// Path is the request path including the query string.
	Path   string
	Header http.Header
	Body   []byte
	// Once sends the request on a new connection, so that the HTTP transport
	// never resends it.
	Once bool
}

// openResponse is an HTTP response whose body is read under a watchdog.
type openResponse struct {
	*http.Response
	watchdog *watchdog
	cancel   context.CancelCauseFunc
}

func (r *openResponse) close() {
	r.watchdog.stop()
	r.cancel(context.Canceled)
	r.Body.Close()
}

// open sends the call and waits for the response header. The timeout applies until
// the header arrives and, unless changed, to each following read.
func (c *Client) open(ctx context.Context, srv membership.Server, call Call, timeout time.Duration) (*openResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := newWatchdog(timeout, func() { cancel(ErrNoProgress) })
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
	client := c.pooled
	if call.Once {
		client = c.singleUse
	}
	c.dispatched.Inc(1)
	resp, err := client.Do(req)
	if err != nil {
		watch.stop()
		err = c.classifyError(ctx, err, connected.Load())
		cancel(err)
		return nil, trace.Wrap(err, "server %s", srv.Name)
	}
	watch.progress()
	return &openResponse{Response: resp, watchdog: watch, cancel: cancel}, nil
}

// classifyError maps a transport error to an error of this package. The cause of
// ctx distinguishes a progress timeout from a request that was canceled.
func (c *Client) classifyError(ctx context.Context, err error, connected bool) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, ErrNoProgress) && connected:
		c.timedOut.Inc(1)
		return ErrNoProgress
	case !connected && (cause == nil || errors.Is(cause, ErrNoProgress)):
		c.notConnected.Inc(1)
		return fmt.Errorf("%w: %v", ErrNotConnected, err)
	case cause != nil:
		return cause
	}
	c.incomplete.Inc(1)
	c.countCause(err)
	return fmt.Errorf("%w: %v", ErrIncomplete, err)
}

// countCause counts an answer that is malformed, or has ended with its connection.
func (c *Client) countCause(err error) {
	switch {
	case errors.Is(err, httpcheck.ErrMalformed):
		c.malformed.Inc(1)
	case errors.Is(err, httpcheck.ErrEndUnknown):
		c.endsUnknown.Inc(1)
	}
}

// readErrorResponse reads a response with an error status and returns it as an error.
func readErrorResponse(resp *openResponse) error {
	body, whole, err := httpcheck.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrIncomplete, err)
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return unavailableError(body)
	}
	if !whole {
		return fmt.Errorf("%w: %v", ErrIncomplete, httpcheck.ErrEndUnknown)
	}
	return &StatusError{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Body:        body,
	}
}

// unavailableError returns ErrDraining or ErrBusy, depending on the error code in
// the body of a 503 response.
func unavailableError(body []byte) error {
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
