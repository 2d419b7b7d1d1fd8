package upstream

import (
	"context"
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
	watchInterval = 100 * time.Millisecond
	// breakInterval is how long before or after the end of a body another connection breaks at most that broke with it.
	breakInterval = 300 * time.Millisecond
	// prepareTime is how long a request waits at most until a reference connection is open.
	prepareTime = 10 * time.Millisecond
	// refusedTime is how long after it was opened a server resets a connection at most of which it has too many.
	refusedTime = settleTime + 2*watchInterval
	// failedPause is how long after a failure no other reference connection is opened.
	failedPause = time.Second
)

// reference is a connection to a server that shows that its process lives: it ends with the process and with the path. It
// serves all responses of the server on that path and carries no requests of callers.
type reference struct {
	// mu guards the fields below, and is held while the connection is opened.
	mu   sync.Mutex
	conn *Conn
	// asking is the probe that is sent and answered on conn, which may not be touched then; nil if there is none.
	asking *sharedProbe
	// asked is the last probe that got a response.
	asked *sharedProbe
	// activeAt is when conn was opened or a probe on it was last answered, answered whether one was.
	activeAt time.Time
	answered bool
	// healthyAt is when conn was last found open.
	healthyAt time.Time
	// failedAt is when the connection could last not be opened or used.
	failedAt time.Time
	// crowdedUntil is until when no connection is opened, because the server has refused one of a request.
	crowdedUntil time.Time
	// brokeAt is when a connection was last found broken that may have broken with the process or the path, brokeAfter when
	// it was found open before.
	brokeAfter, brokeAt time.Time
	// idleLimit is the idle time after which the server closed a connection without any response that ended then, or zero.
	// idleBroke is the idle time of the connection that broke at brokeAt.
	idleLimit, idleBroke time.Duration

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
// with their connection. It waits prepareTime for it at most. ctx must end with the request.
func (p *Pool) PrepareEnd(ctx context.Context, s *backend.Server, c *Conn) {
	p.mu.Lock()
	needed := p.untilClose[s.Service]
	p.mu.Unlock()
	if !needed {
		return
	}
	waited, cancel := context.WithTimeout(ctx, prepareTime)
	go func() {
		defer cancel()
		p.openReference(ctx, s, c)
	}()
	<-waited.Done()
}

// WatchEnd keeps a reference connection open while a response arrives whose body ends with its connection.
// It returns at once. ctx must end with the request.
func (p *Pool) WatchEnd(ctx context.Context, resp *Response, s *backend.Server) {
	r := p.reference(resp.conn)
	p.mu.Lock()
	p.untilClose[s.Service] = true
	r.users++
	p.mu.Unlock()
	ctx, resp.stopWatch = context.WithCancel(ctx)
	go func() {
		defer p.releaseReference(r)
		p.watch(ctx, resp, s)
	}()
}

// watch keeps a reference connection open until ctx ends.
func (p *Pool) watch(ctx context.Context, resp *Response, s *backend.Server) {
	var last time.Time
	for ctx.Err() == nil {
		opened := p.openReference(ctx, s, resp.conn)
		if opened.After(last) && opened.After(resp.openAt()) && resp.conn.Via == "" {
			go resp.provePrior(ctx, opened)
		}
		last = opened
		sleep(ctx, watchInterval)
	}
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
	if r.conn != nil && r.asking == nil && !r.conn.healthy() {
		r.dropBroken(r.conn.wasReset())
	}
	r.learnIdleLimit()
	if r.conn != nil {
		r.healthyAt = time.Now()
		return r.conn.openedAt
	}
	if ctx.Err() != nil || time.Since(r.failedAt) < failedPause || time.Now().Before(r.crowdedUntil) {
		return time.Time{}
	}
	r.conn = p.newReference(ctx, s, c)
	if r.conn == nil {
		r.noteFailure(ctx)
		return time.Time{}
	}
	r.activeAt, r.healthyAt, r.answered = time.Now(), time.Now(), false
	return r.conn.openedAt
}

// noteFailure records that no connection could be opened, unless that wasn't wanted any more. The caller must hold r.mu.
func (r *reference) noteFailure(ctx context.Context) {
	if ctx.Err() == nil {
		r.failedAt = time.Now()
	}
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
		if r.users == 0 && time.Since(r.usedAt) > key.maxIdle() && r.close() && !r.isCrowded() {
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
	if r.asking != nil {
		return false
	}
	if r.conn != nil {
		r.drop()
	}
	return true
}
