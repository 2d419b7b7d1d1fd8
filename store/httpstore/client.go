// Package httpstore implements the platform's store and host list over HTTP.
// The protocol is described in docs/design/platform.md.
package httpstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/httpcheck"
	"github.com/jacinththread/jacinththread/store"
)

var (
	_ store.Store    = (*Client)(nil)
	_ store.HostList = (*Client)(nil)
)

const (
	defaultWatchWait = 2 * time.Second
	// watchMargin is the time by which a watch response is due before the
	// context's deadline. A request that is canceled at the deadline would
	// close its connection.
	watchMargin     = 100 * time.Millisecond
	maxIdleConns    = 8
	idleConnTimeout = 30 * time.Second
	// maxResponseBytes limits a response body. It exceeds store.MaxValueBytes
	// because a list holds several values.
	maxResponseBytes = 64 << 20
)

// Client is a client of one platform. It is safe for concurrent use.
type Client struct {
	base            *url.URL
	http            *http.Client
	timeout         time.Duration
	watchWait       time.Duration
	calls           metrics.Counter
	lastHosts       hostsCache
	failures        metrics.Counter
	unknownOutcomes metrics.Counter
	latency         metrics.Timer
}

// Option configures a Client.
type Option func(*Client)

// WithWatchWait sets how long the store may hold a watch request before it
// responds that the key is unchanged.
func WithWatchWait(d time.Duration) Option {
	return func(c *Client) { c.watchWait = d }
}

// WithMetrics registers the client's metrics in r.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Client) { c.register(r) }
}

// New returns a client of the platform at the base URL. The timeout applies to
// each call. A watch lasts until its context ends; each of its requests may
// take the watch wait plus the timeout.
func New(baseURL string, timeout time.Duration, options ...Option) (*Client, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, trace.BadParameter("platform URL %q is not an absolute http or https URL", baseURL)
	}
	if timeout <= 0 {
		return nil, trace.BadParameter("platform timeout %v is not positive", timeout)
	}
	c := &Client{
		base:      base,
		timeout:   timeout,
		watchWait: defaultWatchWait,
		http: &http.Client{Transport: httpcheck.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		})},
	}
	c.register(metrics.NewRegistry())
	for _, o := range options {
		o(c)
	}
	return c, nil
}

func (c *Client) register(r metrics.Registry) {
	c.calls = metrics.GetOrRegisterCounter("platform.calls", r)
	c.failures = metrics.GetOrRegisterCounter("platform.failures", r)
	c.unknownOutcomes = metrics.GetOrRegisterCounter("platform.outcome_unknown", r)
	c.latency = metrics.GetOrRegisterTimer("platform.latency", r)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r, err := c.read(ctx, c.keyURL(key))
	if err != nil {
		return store.Entry{}, err
	}
	return r.entry(key)
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	u := c.base.JoinPath("v1", "kv")
	u.RawQuery = url.Values{"prefix": {prefix}}.Encode()
	return readJSON[[]store.Entry](ctx, c, u)
}

// Create implements store.Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (store.Revision, error) {
	rev, err := c.write(ctx, http.MethodPut, key, condition{header: "If-None-Match", value: "*"}, value)
	if errors.Is(err, store.ErrConflict) {
		return 0, store.ErrExists
	}
	return rev, err
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, rev store.Revision, value []byte) (store.Revision, error) {
	return c.write(ctx, http.MethodPut, key, ifMatch(rev), value)
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, rev store.Revision) error {
	_, err := c.write(ctx, http.MethodDelete, key, ifMatch(rev), nil)
	return err
}

// Watch implements store.Store by long polling.
func (c *Client) Watch(ctx context.Context, key string, after store.Revision) (store.Entry, error) {
	for {
		e, changed, err := c.poll(ctx, key, after)
		if ctx.Err() != nil && !changed {
			return store.Entry{}, ctx.Err()
		}
		if err != nil || changed {
			return e, err
		}
	}
}

// poll sends one watch request and reports whether the key changed.
func (c *Client) poll(ctx context.Context, key string, after store.Revision) (store.Entry, bool, error) {
	wait := c.watchWait
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)-watchMargin)
	}
	if wait <= 0 {
		<-ctx.Done()
		return store.Entry{}, false, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	u := c.keyURL(key)
	u.RawQuery = url.Values{
		"after":   {fmt.Sprint(uint64(after))},
		"wait_ms": {fmt.Sprint(wait.Milliseconds())},
	}.Encode()
	r, err := c.read(ctx, u)
	if err != nil {
		return store.Entry{}, false, err
	}
	if r.Status == http.StatusNotModified {
		return store.Entry{}, false, nil
	}
	e, err := r.entry(key)
	return e, err == nil, err
}

func (c *Client) keyURL(key string) *url.URL {
	// The path is not built with JoinPath, which would remove dot segments and
	// duplicate slashes from the key.
	u := c.base.JoinPath("v1", "kv")
	plain, escaped := u.Path, u.EscapedPath()
	u.Path = plain + "/" + key
	u.RawPath = escaped + "/" + url.PathEscape(key)
	return u
}
