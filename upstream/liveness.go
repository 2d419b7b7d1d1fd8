package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/httpcheck"
)

const (
	// settleTime is how long after the end of a body its server is asked whether it lives. A process that ends may close its
	// connections one after the other.
	settleTime = 250 * time.Millisecond
	// minSettleTime is how long after the end of a body a question must have been sent that was sent for another body.
	minSettleTime = 150 * time.Millisecond
	// askTime is kept before the deadline of a request for the question.
	askTime = 50 * time.Millisecond
	// livenessTimeout bounds the question.
	livenessTimeout = time.Second
	// sameConnectTimeout bounds the setup of a connection for it.
	sameConnectTimeout = 250 * time.Millisecond
	// maxProbeBytes is the longest body of a response to it that is read.
	maxProbeBytes = 256 << 10
)

// Probe is a request by which a server shows that it lives.
type Probe struct {
	Target, Host string
	Header       http.Header
	// Attribute tells whether a response with the given header names another request.
	Attribute func(http.Header) Attribution
	// Identify tells which process sent a response, as far as it says.
	Identify func(status int, h http.Header, body []byte) Identity
}

func (p Probe) request() *Request {
	return &Request{Method: http.MethodGet, Target: p.Target, Host: p.Host, Header: p.Header, Attribute: p.Attribute}
}

// Identity tells which process sent a response.
type Identity uint8

// Identities of a process.
const (
	// Unidentified processes don't say which they are.
	Unidentified Identity = iota
	// SameID is a process that says the ID of the server, and not when it started.
	SameID
	// SameProcess is the one that the record of the server describes.
	SameProcess
	// OtherProcess is another one.
	OtherProcess
)

// Liveness is the evidence that the process which sent a response lived on after its end.
type Liveness uint8

// Evidence of liveness.
const (
	// NotShown: there is no evidence.
	NotShown Liveness = iota
	// ByConnection: it responded on a connection that was opened before the end.
	ByConnection
	// ByID: a process with its ID responded on a new connection. It may have started since.
	ByID
	// ByIdentity: it responded on a new connection and said which process it is.
	ByIdentity
)

var (
	errOtherProcess = errors.New("another process listens at the server's address")
	errUnidentified = errors.New("process at the server's address doesn't say which it is")
)

// LivedOn asks whether the process that sent a response lived on after its body ended with its connection, which the end
// of a process looks like. The error tells why there is no evidence. Only the path of the response is used, because others
// don't tell why its connection ended. It releases the response's connection.
func (p *Pool) LivedOn(ctx context.Context, resp *Response, s *backend.Server, probe Probe) (Liveness, error) {
	defer resp.Close() // The connection was held for WasReset.
	ended := time.Now()
	if resp.pauses.longest > maxReadPause {
		return NotShown, errReadPause
	}
	if err := sleep(ctx, settleTimeIn(ctx)); err != nil {
		return NotShown, err
	}
	if resp.WasReset() {
		return NotShown, errReset
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	liveness, err := p.askLivedOn(ctx, resp, s, probe, ended)
	if resp.WasReset() {
		return NotShown, errReset
	}
	return liveness, err
}

// askLivedOn asks the server of a response that ended at the given time whether its process lives.
func (p *Pool) askLivedOn(ctx context.Context, resp *Response, s *backend.Server, probe Probe, ended time.Time) (Liveness, error) {
	p.endChecks.Inc(1)
	r := p.reference(resp.conn)
	liveness, err := r.ask(ctx, resp, probe, ended.Add(minSettleTime))
	switch {
	case liveness == ByConnection, errors.Is(err, errOtherProcess):
		return liveness, err
	case r.brokeWith(resp, ended):
		return NotShown, errReferenceBroken
	case liveness != NotShown:
		return liveness, nil
	}
	return p.identify(ctx, resp.conn.Via, s, probe)
}

// settleTimeIn returns how long after the end of a body its server is asked: less than settleTime, but not less than
// minSettleTime, if ctx ends soon.
func settleTimeIn(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return settleTime
	}
	left := time.Until(deadline) - askTime
	return min(settleTime, max(left, minSettleTime+time.Millisecond))
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// identify asks on a new connection over the given path which process listens.
func (p *Pool) identify(ctx context.Context, via string, s *backend.Server, probe Probe) (Liveness, error) {
	c, err := p.connectSame(ctx, s, via)
	if err != nil {
		return NotShown, err
	}
	defer p.discard(c)
	identity, err := c.ask(ctx, probe)
	switch {
	case err != nil:
		return NotShown, err
	case identity == OtherProcess:
		return NotShown, errOtherProcess
	}
	return livenessBy(identity)
}

// livenessBy returns the evidence that a response on a new connection is.
func livenessBy(identity Identity) (Liveness, error) {
	switch identity {
	case SameProcess:
		return ByIdentity, nil
	case SameID:
		return ByID, nil
	default:
		return NotShown, errUnidentified
	}
}

// connectSame opens a connection over the given path.
func (p *Pool) connectSame(ctx context.Context, s *backend.Server, via string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, sameConnectTimeout)
	defer cancel()
	p.dials.Inc(1)
	link, err := p.connector.ConnectSame(ctx, s, via)
	if err != nil {
		p.dialFailures.Inc(1)
		return nil, err
	}
	return p.newConn(s, link), nil
}

// ask sends a probe and returns which process responded. After an error the connection can't be used any more. What the
// response says besides isn't taken in, because it may lack what responses to requests say.
func (c *Conn) ask(ctx context.Context, probe Probe) (Identity, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.setReadTimeout(0)
	r := probe.request()
	c.requests++
	if err := c.send(r); err != nil {
		return Unidentified, err
	}
	resp, err := c.readResponse(r)
	if err != nil {
		return Unidentified, err
	}
	if r.Attribute(resp.Header) == Foreign {
		return Unidentified, fmt.Errorf("%w: it belongs to another request", ErrMalformed)
	}
	body, complete := c.readProbeBody(resp)
	if !complete {
		c.closeAfterResponse = true
	}
	return probe.Identify(resp.Status, resp.Header, body), nil
}

// readProbeBody reads the body of a response to a probe and reports whether the connection can be used on. A body that ends
// with its connection may be a part: its document must tell whether it is whole.
func (c *Conn) readProbeBody(resp *Response) (body []byte, complete bool) {
	body, err := io.ReadAll(io.LimitReader(resp.parsed.Body, maxProbeBytes+1))
	if err == nil {
		err = httpcheck.CheckTrailer(resp.parsed.Trailer)
	}
	return body, err == nil && len(body) <= maxProbeBytes && resp.Framing != UntilClose
}
