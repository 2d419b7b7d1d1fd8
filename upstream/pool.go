package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/httpcheck"
)

const (
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 8 * time.Second
	// maxTunnelIdleTime is the same for a connection through another daemon, which
	// takes two descriptors there.
	maxTunnelIdleTime = 2 * time.Second
	// serverIdleMargin is subtracted from the server's own idle timeout, so
	// that no request is sent on a connection that the server is closing.
	serverIdleMargin = 1200 * time.Millisecond
	// maxIdlePerServer bounds the idle connections kept per server.
	maxIdlePerServer = 16
)

// Conn is a connection to a server. It carries one request at a time.
type Conn struct {
	Link
	// br reads from input, which reads from the connection.
	br       *bufio.Reader
	input    *limitedReader
	pool     *Pool
	instance backend.Instance
	service  string
	// openedAt is when the connection was opened.
	openedAt time.Time
	// received is the number of bytes that were read from the link.
	received atomic.Int64
	// requests is the number of requests that were sent on the connection.
	requests int
	// readDeadline is the read deadline of the exchange, or zero, and readTimeout the time after which it was set.
	readDeadline time.Time
	readTimeout  time.Duration
	// onSilence is called when nothing arrived until the read deadline; nil if that is an error.
	onSilence SilenceFunc
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time
	// sentAt is when the last request was sent, earlierSentAt the one before it.
	sentAt, earlierSentAt time.Time
	// serverIdleTimeout is the idle timeout that the server sent in a
	// Keep-Alive field, or zero.
	serverIdleTimeout time.Duration
	// closeAfterResponse is set if the server closes the connection after the
	// current response.
	closeAfterResponse bool
	// written is closed once the last request has been written; writeErr is
	// valid from then on.
	written  chan struct{}
	writeErr error
}

// Pool keeps idle connections to backend servers for reuse. It is safe for
// concurrent use.
type Pool struct {
	cfg       Config
	connector Connector

	mu   sync.Mutex
	idle map[idleKey][]*Conn
	// unattributed holds the services whose servers sent responses without a request ID.
	unattributed map[string]bool
	// untilClose holds the services whose servers sent bodies that end with their connection, references the reference
	// connections to servers.
	untilClose map[string]bool
	references map[referenceKey]*reference

	dials, dialFailures, reuses, strayResponses, unattributedResponses, endChecks metrics.Counter
	// unwrittenEnds and resetEnds count bodies that ended with their connection and aren't complete.
	unwrittenEnds, resetEnds metrics.Counter
	// malformed counts malformed responses by their cause.
	malformed map[httpcheck.Cause]metrics.Counter
}

// Config configures a Pool.
type Config struct {
	Connector Connector
	// ParseNotice returns what a server says of itself in the head of a response.
	ParseNotice func(status int, h http.Header) backend.Notice
	// Observe is called with every response, also with those that nobody waits for any more.
	Observe func(Observation)
	Metrics metrics.Registry
}

// Observation is a response as far as it tells about the server.
type Observation struct {
	Server backend.Instance
	// Via is the daemon through which the request went, to which the server's words apply; empty if it was sent
	// directly.
	Via    string
	Status int
	Notice backend.Notice
	// SentAt is when the request was sent and HeardAt when the response was read.
	SentAt, HeardAt time.Time
}

// NewPool returns an empty pool and registers its metrics.
func NewPool(cfg Config) *Pool {
	registry := cfg.Metrics
	malformed := map[httpcheck.Cause]metrics.Counter{}
	for _, cause := range httpcheck.Causes() {
		malformed[cause] = metrics.GetOrRegisterCounter("upstream.malformed."+cause.String(), registry)
	}
	return &Pool{
		cfg:                   cfg,
		connector:             cfg.Connector,
		idle:                  map[idleKey][]*Conn{},
		unattributed:          map[string]bool{},
		untilClose:            map[string]bool{},
		references:            map[referenceKey]*reference{},
		dials:                 metrics.GetOrRegisterCounter("upstream.dials", registry),
		dialFailures:          metrics.GetOrRegisterCounter("upstream.dials_failed", registry),
		reuses:                metrics.GetOrRegisterCounter("upstream.reuses", registry),
		strayResponses:        metrics.GetOrRegisterCounter("upstream.stray_answers", registry),
		unattributedResponses: metrics.GetOrRegisterCounter("upstream.unattributed_answers", registry),
		endChecks:             metrics.GetOrRegisterCounter("upstream.end_checks", registry),
		unwrittenEnds:         metrics.GetOrRegisterCounter("upstream.ends_unwritten", registry),
		resetEnds:             metrics.GetOrRegisterCounter("upstream.ends_reset", registry),
		malformed:             malformed,
	}
}

// countMalformed counts a response if err means that it is malformed.
func (p *Pool) countMalformed(err error) {
	if errors.Is(err, ErrMalformed) {
		p.malformed[httpcheck.CauseOf(err)].Inc(1)
	}
}

// idleKey selects the idle connections to a server that are direct or lead through other daemons.
type idleKey struct {
	server   backend.Instance
	tunneled bool
}

func (c *Conn) idleKey() idleKey { return idleKey{c.instance, c.Via != ""} }

// Use tells what a connection is used for.
type Use struct {
	// MaxIdle is how long ago a connection may have been used last.
	MaxIdle time.Duration
	// Repeatable is set if the request can be sent again when the connection fails.
	Repeatable bool
	// AtMostOnce is set if the request may not run twice. It must be certain then to which request a response belongs.
	AtMostOnce bool
}

// recordUnattributed records that a server of a service sent a response without a request ID.
func (p *Pool) recordUnattributed(service string) {
	p.unattributedResponses.Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unattributed[service] = true
}

// needsNew reports whether a request needs a new connection. On a connection that carried another request, a response
// without an ID would leave open whether the request runs.
func (p *Pool) needsNew(s *backend.Server, u Use) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return u.AtMostOnce && p.unattributed[s.Service]
}

// Connect returns an idle connection or a new one. Every error wraps ErrNotSent.
func (p *Pool) Connect(ctx context.Context, s *backend.Server, u Use) (*Conn, error) {
	paths := p.connector.Paths(s.Instance(), u.Repeatable)
	needsNew := p.needsNew(s, u)
	if !needsNew {
		if c := p.reuse(s.Instance(), u, paths); c != nil {
			p.reuses.Inc(1)
			return c, nil
		}
	}
	p.dials.Inc(1)
	link, err := p.connector.Connect(ctx, s, paths)
	if err == nil {
		return p.newConn(s, link), nil
	}
	p.dialFailures.Inc(1)
	if ctx.Err() != nil || needsNew {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	// An old connection isn't proven since the path failed, but it is the last way that is left.
	if c := p.takeIdle(idleKey{server: s.Instance()}, u.MaxIdle, time.Time{}); c != nil {
		p.reuses.Inc(1)
		return c, nil
	}
	return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
}

// reuse returns an idle connection, or nil if there is none.
func (p *Pool) reuse(server backend.Instance, u Use, paths Paths) *Conn {
	if c := p.takeIdle(idleKey{server: server}, u.MaxIdle, paths.ProvenSince); c != nil || paths.Direct {
		return c
	}
	return p.takeIdle(idleKey{server: server, tunneled: true}, u.MaxIdle, time.Time{})
}

func (p *Pool) newConn(s *backend.Server, l Link) *Conn {
	c := &Conn{Link: l, pool: p, instance: s.Instance(), service: s.Service, openedAt: time.Now()}
	c.input = &limitedReader{source: readerFunc(c.readLink)}
	c.br = bufio.NewReaderSize(c.input, readBufferBytes)
	return c
}

// takeIdle removes and returns the most recently used idle connection that is
// healthy, was idle for at most maxIdle and was used since provenSince. It closes
// those that it finds unusable, but keeps those not used since provenSince. It
// returns nil if there is none.
func (p *Pool) takeIdle(key idleKey, maxIdle time.Duration, provenSince time.Time) *Conn {
	for {
		c := p.popIdle(key, provenSince)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) <= min(maxIdle, c.idleTimeout()) && c.healthy() && p.isUsable(c.Via) {
			return c
		}
		c.Close()
	}
}

// isUsable reports whether idle connections of a path may be used.
func (p *Pool) isUsable(via string) bool { return via == "" || p.connector.Usable(via) }

// popIdle removes and returns the most recently used idle connection, or nil if
// it wasn't used since provenSince.
func (p *Pool) popIdle(key idleKey, provenSince time.Time) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 || list[len(list)-1].idleSince.Before(provenSince) {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

// idleTimeout returns how long the connection may stay idle. It is not positive
// if the connection must not be reused.
func (c *Conn) idleTimeout() time.Duration {
	most := maxIdleTime
	if c.Via != "" {
		most = maxTunnelIdleTime
	}
	if c.serverIdleTimeout == 0 {
		return most
	}
	return min(most, c.serverIdleTimeout-serverIdleMargin)
}

// healthy reports whether an idle connection is open and has no unread data.
// Data that arrives while no request is outstanding belongs to no request.
func (c *Conn) healthy() bool { return c.br.Buffered() == 0 && IsQuiet(c.Link.Conn) }

// put returns a connection to the pool after a complete response. It closes the
// connection if the request was not completely written or the connection cannot
// be reused for another reason.
func (p *Pool) put(c *Conn, reusable bool) {
	select {
	case <-c.written:
		reusable = reusable && c.writeErr == nil
	default:
		reusable = false
	}
	if !reusable || c.br.Buffered() > 0 || c.idleTimeout() <= 0 {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	c.onSilence = nil
	p.mu.Lock()
	key := c.idleKey()
	list := p.idle[key]
	full := len(list) >= maxIdlePerServer
	if !full {
		p.idle[key] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		p.discard(c)
	}
}

func (p *Pool) discard(c *Conn) { c.Close() }

// Release returns to the pool a connection that was not used since Connect.
func (p *Pool) Release(c *Conn) {
	if c.written == nil {
		c.written = make(chan struct{})
		close(c.written)
	}
	p.put(c, true)
}

// Sweep closes the connections that were idle for too long and those to servers
// that are no longer usable.
func (p *Pool) Sweep(usable func(backend.Instance) bool) {
	p.sweepReferences()
	p.mu.Lock()
	var stale []*Conn
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if usable(key.server) && time.Since(c.idleSince) <= c.idleTimeout() && p.isUsable(c.Via) {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.Close()
	}
}
