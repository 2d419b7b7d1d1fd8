package upstream

import (
	"context"
	"errors"
	"time"
)

// maxProbeWait is how long a response waits for a probe that was sent too early for it, before a new connection is asked.
const maxProbeWait = 300 * time.Millisecond

var (
	errNoReference = errors.New("no other connection to the server")
	errProbeSlow   = errors.New("server is slow to respond on another connection")
)

// sharedProbe is a probe on a reference connection. It serves all responses that ended early enough before it was sent, and
// doesn't end with any of their requests.
type sharedProbe struct {
	conn *Conn
	// sent is when it was sent, opened when its connection was opened.
	sent, opened time.Time
	// done is closed when identity and err are valid.
	done     chan struct{}
	identity Identity
	err      error
}

// ask asks for evidence on the connection, later than a given time. If the connection was opened before the body ended, any
// response is evidence, otherwise one that names the process.
func (r *reference) ask(ctx context.Context, resp *Response, probe Probe, after time.Time) (Liveness, error) {
	sp, err := r.probeAfter(ctx, resp, probe, after)
	if err != nil {
		return NotShown, err
	}
	if err := sp.await(ctx); err != nil {
		return NotShown, err
	}
	if sp.opened.Before(resp.openAt()) {
		return ByConnection, nil
	}
	return livenessBy(sp.identity)
}

// await waits for the response to the probe and returns why it is no evidence, or nil.
func (sp *sharedProbe) await(ctx context.Context) error {
	select {
	case <-sp.done:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if sp.err == nil && sp.identity == OtherProcess {
		return errOtherProcess
	}
	return sp.err
}

// probeAfter returns a probe that was sent later than a given time. It sends one if there is none.
func (r *reference) probeAfter(ctx context.Context, resp *Response, probe Probe, after time.Time) (*sharedProbe, error) {
	waited, cancel := context.WithTimeoutCause(ctx, maxProbeWait, errProbeSlow)
	defer cancel()
	for {
		sp, err := r.shareOrSend(resp, probe, after)
		if err != nil || sp.sent.After(after) {
			return sp, err
		}
		select {
		case <-sp.done:
		case <-waited.Done():
			return nil, context.Cause(waited)
		}
	}
}

// shareOrSend returns the last probe if it is evidence for the response, or the one that waits for its response. Otherwise it
// sends one.
func (r *reference) shareOrSend(resp *Response, probe Probe, after time.Time) (*sharedProbe, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.asked != nil && r.asked.sent.After(after) && r.asked.opened.Before(resp.openAt()):
		return r.asked, nil
	case r.asking != nil:
		return r.asking, nil
	case r.conn == nil:
		return nil, errNoReference
	case !r.conn.healthy():
		r.dropBroken(r.conn.wasReset())
		return nil, errNoReference
	}
	r.healthyAt = time.Now()
	r.asking = &sharedProbe{conn: r.conn, sent: time.Now(), opened: r.conn.openedAt, done: make(chan struct{})}
	go r.run(r.asking, probe)
	return r.asking, nil
}

// run sends a probe and takes in its result.
func (r *reference) run(sp *sharedProbe, probe Probe) {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	sp.identity, sp.err = sp.conn.ask(ctx, probe)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer close(sp.done)
	r.asking = nil
	switch {
	case sp.err != nil && ctx.Err() == nil && isBreak(sp.err):
		r.dropBroken(sp.conn.wasReset())
	case sp.err != nil, sp.identity == OtherProcess:
		r.drop()
	default:
		r.asked = sp
		r.activeAt, r.healthyAt, r.answered = time.Now(), time.Now(), true
		if sp.conn.closeAfterResponse {
			r.drop()
		}
	}
}
