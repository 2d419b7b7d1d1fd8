package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/jacinththread/jacinththread/membership"
)

// maxAnswerBytes bounds the answer of a plain service.
const maxAnswerBytes = 16 << 20

// Answer is a whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a call and reads its whole answer. Answers of any status are
// returned, but for a 503 that refuses the call, which is an error.
func (c *Client) Do(ctx context.Context, srv membership.Server, call Call) (*Answer, error) {
	resp, err := c.open(ctx, srv, call, c.silence)
	if err != nil {
		return nil, err
	}
	defer resp.close()
	body, err := io.ReadAll(io.LimitReader(&progressReader{resp.Body, resp.watch}, maxAnswerBytes+1))
	if err != nil {
		return nil, trace.Wrap(c.classify(resp.Request.Context(), err, true), "server %s", srv.Name)
	}
	if len(body) > maxAnswerBytes {
		return nil, trace.Wrap(fmt.Errorf("%w: it exceeds %d bytes", ErrBroken, maxAnswerBytes), "server %s", srv.Name)
	}
	if err := notTaken(resp.StatusCode, body, call.Once); err != nil {
		return nil, trace.Wrap(err, "server %s", srv.Name)
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// notTaken returns the error of a server that refused a call. A call sent once
// counts as refused only if the server says that it is leaving: any other 503
// may come after the call had an effect.
func notTaken(status int, body []byte, once bool) error {
	if status != http.StatusServiceUnavailable {
		return nil
	}
	err := unavailable(body)
	if once && err != ErrDraining {
		return nil
	}
	return err
}

// progressReader reports each read to a watchdog.
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
