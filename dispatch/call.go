package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/jacinththread/jacinththread/httpcheck"
	"github.com/jacinththread/jacinththread/membership"
)

// maxResponseBytes limits the response body of a plain service.
const maxResponseBytes = 16 << 20

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a call and reads the complete response. A response of any status is
// returned, except a 503 that refuses the call: that is an error (see
// refusalError).
func (c *Client) Do(ctx context.Context, srv membership.Server, call Call) (*Response, error) {
	resp, err := c.open(ctx, srv, call, c.progressTimeout)
	if err != nil {
		return nil, err
	}
	defer resp.close()
	body, whole, err := httpcheck.ReadAll(io.LimitReader(&progressReader{resp.Body, resp.watchdog}, maxResponseBytes+1))
	if err != nil {
		return nil, trace.Wrap(c.classifyError(resp.Request.Context(), err, true), "server %s", srv.Name)
	}
	if len(body) > maxResponseBytes {
		return nil, trace.Wrap(fmt.Errorf("%w: body exceeds %d bytes", ErrIncomplete, maxResponseBytes), "server %s", srv.Name)
	}
	if err := refusalError(resp.StatusCode, body, call.Once); err != nil {
		return nil, trace.Wrap(err, "server %s", srv.Name)
	}
	if !whole {
		err := c.classifyError(resp.Request.Context(), httpcheck.ErrEndUnknown, true)
		return nil, trace.Wrap(err, "server %s", srv.Name)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// refusalError returns the error for a response that refuses the call, or nil. A
// call with Call.Once counts as refused only if the server reports that it is
// draining: any other 503 may be sent after the call had an effect.
func refusalError(status int, body []byte, once bool) error {
	if status != http.StatusServiceUnavailable {
		return nil
	}
	err := unavailableError(body)
	if once && err != ErrDraining {
		return nil
	}
	return err
}

// progressReader reports every read that returns data to a watchdog.
type progressReader struct {
	r     io.Reader
	watch *watchdog
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		p.watch.progress()
	}
	return n, err
}
