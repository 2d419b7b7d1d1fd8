package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jacinththread/jacinththread/backend"
)

const (
	// maxReferenceIdle is how long a direct reference connection is kept after its last use.
	maxReferenceIdle = 8 * time.Second
	// endDelay is how long after the last bytes of a connection its end arrives at most, while the path delivers.
	endDelay = 100 * time.Millisecond
	// quietInterval is the time between two looks at a connection that has unread bytes.
	quietInterval = 50 * time.Millisecond
	// watchInterval is the time between two looks at the reference connection while a response arrives.
	watchInterval = time.Second
	// failedPause is how long after a failure no other reference connection is opened.
	failedPause = time.Second
)

// reference is a connection to a server that shows that its process lives: it ends with the process and with the path. It
// serves all responses of the server on that path and carries no requests of callers.
type reference struct {
	// asking is held while a probe is sent and answered.
	asking sync.Mutex

	// mu guards the fields below, and is held while the connection is opened.
	mu   sync.Mutex
	conn *Conn
	// inUse is set while a probe is sent and answered on conn, which may not be touched then.
	inUse bool
	// askedAt is when a probe was last sent that got a response, askedOpened when its connection was opened.
	askedAt, askedOpened time.Time
	// failedAt is when the connection could last not be opened or used, brokeAt when one was last found broken.
	failedAt, brokeAt time.Time

	// usedAt and users are guarded by the mutex of the pool. users is the number of responses that arrive now and may need
	// the reference.
	usedAt time.Time
	users  int
}

// referenceKey selects a reference connection by its server and the daemon through which it leads.
type referenceKey struct {
	server backend.Instance
	via    string
}

// maxIdle returns how long a reference connection is kept after its last use.
func (k referenceKey) maxIdle() time.Duration {
	if k.via != "" {
		return maxTunnelIdleTime
	}
	return maxReferenceIdle
}

// reference returns the reference of the path of a connection.
func (p *Pool) reference(c *Conn) *reference { return p.referenceOf(referenceKey{c.instance, c.Via}) }

func (p *Pool) referenceOf(key referenceKey) *reference {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.references[key]
	if r == nil {
		r = &reference{}
		p.references[key] = r
	}
	r.usedAt = time.Now()
	return r
}

// PrepareEnd opens a reference connection before a request is sent, if servers of the service have sent bodies that end
// with their connection.
func (p *Pool) PrepareEnd(ctx context.Context, s *backend.Server, c *Conn) {
	p.mu.Lock()
	needed := p.untilClose[s.Service]
	p.mu.Unlock()
	if needed {
		p.openReference(ctx, s, c)
	}
}

// WatchEnd keeps a reference connection open while a response arrives whose body ends with its connection.
// It returns at once. ctx must end with the request.
func (p *Pool) WatchEnd(ctx context.Context, resp *Response, s *backend.Server) {
	r := p.reference(resp.conn)
	p.mu.Lock()
	p.untilClose[s.Service] = true
	r.users++
	p.mu.Unlock()
	go func() {
		defer p.releaseReference(r)
		for ctx.Err() == nil {
			opened := p.openReference(ctx, s, resp.conn)
			if opened.After(resp.openAt()) && resp.conn.Via == "" {
				resp.provePrior(ctx, opened)
			}
			sleep(ctx, watchInterval)
		}
	}()
}

// releaseReference records that a response doesn't need a reference any more.
func (p *Pool) releaseReference(r *reference) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.users--
	r.usedAt = time.Now()
}

// openReference opens a reference connection for the path of a connection, unless it is open. It returns when the connection
// was opened, and zero if there is none.
func (p *Pool) openReference(ctx context.Context, s *backend.Server, c *Conn) time.Time {
	r := p.reference(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && !r.inUse && !r.conn.healthy() {
		r.dropBroken()
	}
	if r.conn != nil {
		return r.conn.openedAt
	}
	if time.Since(r.failedAt) < failedPause {
		return time.Time{}
	}
	r.conn = p.newReference(ctx, s, c)
	if r.conn == nil {
		r.failedAt = time.Now()
		return time.Time{}
	}
	return r.conn.openedAt
}

// newReference takes an idle connection over the path of c, or opens one. It returns nil if that fails.
func (p *Pool) newReference(ctx context.Context, s *backend.Server, c *Conn) *Conn {
	if idle := p.takeIdleVia(c); idle != nil {
		return idle
	}
	conn, err := p.connectSame(ctx, s, c.Via)
	if err != nil {
		return nil
	}
	return conn
}

// takeIdleVia removes and returns an idle connection over the path of c, or nil.
func (p *Pool) takeIdleVia(c *Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.idleKey()]
	for i, idle := range list {
		if idle.Via == c.Via && idle.healthy() {
			p.idle[c.idleKey()] = append(list[:i:i], list[i+1:]...)
			return idle
		}
	}
	return nil
}

// drop closes the connection. The caller must hold r.mu.
func (r *reference) drop() {
	r.conn.Close()
	r.conn = nil
}

// dropBroken is like drop for a connection that the server or the path has ended. A server that ends a connection soon after
// it was opened has too many.
func (r *reference) dropBroken() {
	r.brokeAt = time.Now()
	if r.brokeAt.Sub(r.conn.openedAt) < failedPause {
		r.failedAt = r.brokeAt
	}
	r.drop()
}

var (
	errNoReference     = errors.New("no other connection to the server")
	errReferenceBroken = errors.New("another connection to the server ended at about the same time")
)

// brokeWith reports whether a reference connection broke at about the time at which a response ended. Both may have ended with
// the process or with the path.
func (r *reference) brokeWith(resp *Response, ended time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.brokeAt.After(resp.conn.sentAt) && r.brokeAt.After(ended.Add(-watchInterval))
}

// ask asks for evidence on the connection, later than a given time. If the connection was opened before the body ended, any
// response is evidence, otherwise one that names the process.
func (r *reference) ask(ctx context.Context, resp *Response, probe Probe, after time.Time) (Liveness, error) {
	r.asking.Lock()
	defer r.asking.Unlock()
	if r.hasEvidence(resp, after) {
		return ByConnection, nil
	}
	c, err := r.use(ctx)
	if err != nil {
		return NotShown, err
	}
	sent := time.Now()
	identity, err := c.ask(ctx, probe)
	if err := r.endUse(ctx, sent, identity, err); err != nil {
		return NotShown, err
	}
	if c.openedAt.Before(resp.openAt()) {
		return ByConnection, nil
	}
	return livenessBy(identity)
}

// hasEvidence reports whether a probe that was sent later than a given time is evidence for a response as well.
func (r *reference) hasEvidence(resp *Response, after time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.askedAt.After(after) && r.askedOpened.Before(resp.openAt())
}

// use returns the connection for a probe.
func (r *reference) use(ctx context.Context) (*Conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.conn == nil:
		return nil, errNoReference
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case !r.conn.healthy():
		r.dropBroken()
		return nil, errReferenceBroken
	}
	r.inUse = true
	return r.conn, nil
}

// endUse takes in the result of a probe that was sent at a time. It returns why it is no evidence, or nil.
func (r *reference) endUse(ctx context.Context, sent time.Time, identity Identity, err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inUse = false
	switch {
	case errors.Is(ctx.Err(), context.Canceled): // The caller left.
		r.drop()
		return ctx.Err()
	case err != nil:
		r.dropBroken()
		return err
	case identity == OtherProcess:
		r.drop()
		return errOtherProcess
	}
	r.askedAt, r.askedOpened = sent, r.conn.openedAt
	if r.conn.closeAfterResponse {
		r.drop()
	}
	return nil
}

// openAt returns a time at which the response's connection is known to have been open at the server.
func (resp *Response) openAt() time.Time {
	if proven := resp.provenOpen.Load(); proven != nil {
		return *proven
	}
	return resp.conn.sentAt
}

// provePrior records that a reference connection was opened before the response ended. That is known once further bytes have
// arrived and no end after them: TCP sends what is lost again in order, so the end of a process that ended before would
// follow the bytes at once.
func (resp *Response) provePrior(ctx context.Context, opened time.Time) {
	c := resp.conn
	if !c.awaitQuiet(ctx) || sleep(ctx, quietInterval) != nil {
		return
	}
	for before := c.received.Load(); c.received.Load() == before; {
		if sleep(ctx, quietInterval) != nil {
			return
		}
	}
	if sleep(ctx, endDelay) != nil || !c.awaitQuiet(ctx) {
		return
	}
	proven := opened.Add(1)
	resp.provenOpen.Store(&proven)
}

// awaitQuiet waits until the connection is open and has no unread bytes. Unread bytes can hold back its end.
func (c *Conn) awaitQuiet(ctx context.Context) bool {
	for !IsQuiet(c.Link.Conn) {
		if sleep(ctx, quietInterval) != nil {
			return false
		}
	}
	return true
}

// sweepReferences closes the reference connections that weren't used for long.
func (p *Pool) sweepReferences() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, r := range p.references {
		if r.users == 0 && time.Since(r.usedAt) > key.maxIdle() && r.close() {
			delete(p.references, key)
		}
	}
}

// close closes the connection, unless it is opened or used now, and reports whether it did.
func (r *reference) close() bool {
	if !r.mu.TryLock() {
		return false
	}
	defer r.mu.Unlock()
	if r.inUse {
		return false
	}
	if r.conn != nil {
		r.drop()
	}
	return true
}
