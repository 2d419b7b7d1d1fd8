package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/httpcheck"
)

// Headers of the caller API.
const (
	headerClass       = "Jacinththread-Class"
	headerDeadline    = "Jacinththread-Deadline-Ms"
	headerIdempotency = "Idempotency-Key"
	headerRequestID   = "Jacinththread-Request-Id"
	headerRun         = "Jacinththread-Run"
	headerBundle      = "Jacinththread-Bundle"
)

// Options are the request parameters that are sent as headers.
type Options struct {
	Token string
	// Class is the service class; empty means the customer's default.
	Class string
	// DeadlineMs is the deadline for the first token, in milliseconds after
	// arrival; zero means the class's target.
	DeadlineMs     int64
	IdempotencyKey string
	ContentType    string
}

// Meta is the metadata of a response: its status, its headers and the address
// that sent it.
type Meta struct {
	Status    int    `json:"status"`
	RequestID string `json:"request_id"`
	Run       string `json:"run"`
	Bundle    string `json:"bundle"`
	Addr      string `json:"addr"`
}

// Caller sends requests to the addresses that a Directory returns. It is safe
// for concurrent use.
type Caller struct {
	http *http.Client
	dir  *Directory
}

// NewCaller returns a Caller that finds addresses with dir.
func NewCaller(hc *http.Client, dir *Directory) *Caller {
	return &Caller{http: hc, dir: dir}
}

// NewHTTPClient returns a client without a request timeout: requests are limited
// by their context, and connecting by dialTimeout. It keeps up to
// maxIdleConnsPerHost idle connections to each host.
func NewHTTPClient(dialTimeout time.Duration, maxIdleConnsPerHost int) *http.Client {
	return &http.Client{Transport: httpcheck.NewTransport(&http.Transport{
		DialContext:         dialContext(dialTimeout),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
	})}
}

// Call sends one request and returns the response once its headers have arrived.
// It tries the next address only if connecting failed, so that a request is
// never sent twice.
func (c *Caller) Call(ctx context.Context, method, path string, body []byte, o Options) (*http.Response, Meta, error) {
	addrs, err := c.dir.Addrs(ctx)
	if err != nil {
		return nil, Meta{}, trace.Wrap(err)
	}
	var last error
	for _, addr := range addrs {
		res, err := c.send(ctx, addr, method, path, body, o)
		if err == nil {
			return res, metaOf(res, addr), nil
		}
		if !isDialError(err) || ctx.Err() != nil {
			return nil, Meta{Addr: addr}, trace.Wrap(err)
		}
		c.dir.Remove(addr)
		last = err
	}
	return nil, Meta{}, &UnreachableError{Addrs: addrs, Err: last}
}

func (c *Caller) send(ctx context.Context, addr, method, path string, body []byte, o Options) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the transport cannot retry a request on its own.
	req.GetBody = nil
	setHeader(req, "Authorization", bearer(o.Token))
	setHeader(req, headerClass, o.Class)
	setHeader(req, headerIdempotency, o.IdempotencyKey)
	setHeader(req, "Content-Type", o.ContentType)
	if o.DeadlineMs > 0 {
		req.Header.Set(headerDeadline, strconv.FormatInt(o.DeadlineMs, 10))
	}
	return c.http.Do(req)
}

func setHeader(req *http.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}

func bearer(token string) string {
	if token == "" {
		return ""
	}
	return "Bearer " + token
}

func metaOf(res *http.Response, addr string) Meta {
	return Meta{
		Status:    res.StatusCode,
		RequestID: res.Header.Get(headerRequestID),
		Run:       res.Header.Get(headerRun),
		Bundle:    res.Header.Get(headerBundle),
		Addr:      addr,
	}
}

// CallService calls a plain service and returns the complete response body.
func (c *Caller) CallService(ctx context.Context, method, path string, body []byte, o Options) ([]byte, Meta, error) {
	res, meta, err := c.Call(ctx, method, path, body, o)
	if err != nil {
		return nil, meta, err
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return nil, meta, errorFromResponse(res)
	}
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return data, meta, trace.Wrap(ErrIncomplete, "%v", err)
	}
	return data, meta, nil
}
