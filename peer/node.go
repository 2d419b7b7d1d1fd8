package peer

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/gravitational/trace"
)

// Node implements Bus over TCP. A node sends messages on the connections that it
// dials and receives messages on those that it accepts. It is a kernel service.
type Node struct {
	cfg      Config
	metrics  nodeMetrics
	handlers Handlers
	// ctx is canceled when the node stops.
	ctx    context.Context
	cancel context.CancelFunc
	// running counts the goroutines of the node, which Stop waits for.
	running sync.WaitGroup
	// local queues the messages that the node sends to itself.
	local    *outbox
	linkDown LinkDownCallbacks
	// streams serves the streams that other daemons open; nil refuses them.
	streams StreamHandler

	mu       sync.RWMutex
	listener net.Listener
	links    map[string]*link
	inbound  map[string]*inbound
	sessions map[*session]struct{}
	closed   bool
}

// New returns a node that doesn't listen yet. Its error lists everything that is
// wrong with the configuration.
func New(cfg Config) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		cfg:      cfg,
		metrics:  newNodeMetrics(cfg.Metrics),
		ctx:      ctx,
		cancel:   cancel,
		local:    newOutbox(cfg.QueueBytes),
		links:    map[string]*link{},
		inbound:  map[string]*inbound{},
		sessions: map[*session]struct{}{},
	}, nil
}

// Start begins to accept links and to deliver messages.
func (n *Node) Start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", n.cfg.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	n.mu.Lock()
	n.listener = l
	n.mu.Unlock()
	n.running.Go(func() { n.accept(l) })
	n.running.Go(n.deliverLocal)
	n.running.Go(n.runHeartbeats)
	return nil
}

// Stop sends the messages that are queued on open links, closes all links and
// waits for running handlers until ctx is done.
func (n *Node) Stop(ctx context.Context) error {
	n.mu.Lock()
	n.closed = true
	l := n.listener
	n.mu.Unlock()
	n.cancel()
	if l != nil {
		l.Close()
	}
	stopped := make(chan struct{})
	go func() {
		n.running.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "peer links did not stop in time")
	}
}

// Addr returns the bound address, or an empty string before Start.
func (n *Node) Addr() string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.listener == nil {
		return ""
	}
	return n.listener.Addr().String()
}

// Self implements Bus.
func (n *Node) Self() string { return n.cfg.Self }

// Handle implements Bus.
func (n *Node) Handle(kind Kind, factory func() Message, h Handler) {
	n.handlers.Register(kind, factory, h)
}

// OnLinkDown implements Bus.
func (n *Node) OnLinkDown(f func(name string)) { n.linkDown.Add(f) }

var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Send implements Bus.
func (n *Node) Send(to string, m Message) error { return n.SendAll([]string{to}, m) }

// SendAll implements Bus. It encodes the message once.
func (n *Node) SendAll(to []string, m Message) error {
	buf := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(buf)
	frame, err := AppendFrame((*buf)[:0], m)
	if err != nil {
		return err
	}
	if cap(frame) <= maxPooledBytes {
		*buf = frame
	}
	var first error
	for _, name := range to {
		if err := n.queue(name, frame); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// queue queues an encoded message for a peer.
func (n *Node) queue(to string, frame []byte) error {
	for {
		o, err := n.outboxOf(to)
		if err != nil {
			return err
		}
		// An idle link may be closed after outboxOf returned its queue; the next
		// iteration opens a new link.
		err = o.add(frame)
		if errors.Is(err, ErrQueueFull) {
			n.metrics.messagesDropped.Inc(1)
		}
		if !errors.Is(err, ErrClosed) {
			return err
		}
	}
}

// outboxOf returns the send queue of a peer and opens a link if there is none.
func (n *Node) outboxOf(to string) (*outbox, error) {
	n.mu.RLock()
	l, closed := n.links[to], n.closed
	n.mu.RUnlock()
	if closed {
		return nil, ErrClosed
	}
	if to == n.cfg.Self {
		return n.local, nil
	}
	if l != nil {
		return l.out, nil
	}
	if _, ok := n.cfg.Resolve(to); !ok {
		return nil, ErrUnknownPeer
	}
	return n.openLink(to)
}

func (n *Node) openLink(to string) (*outbox, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrClosed
	}
	if l := n.links[to]; l != nil {
		return l.out, nil
	}
	l := newLink(n, to)
	n.links[to] = l
	n.running.Go(l.run)
	return l.out, nil
}

// removeLink removes an idle link. It reports false and keeps the link if
// messages are queued.
func (n *Node) removeLink(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !l.out.closeIfEmpty() {
		return false
	}
	delete(n.links, l.to)
	return true
}

// deliverLocal dispatches the messages that the node sends to itself.
func (n *Node) deliverLocal() {
	var buf []byte
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.local.ready:
		}
		buf, _ = n.local.take(buf)
		n.dispatchAll(buf)
	}
}

// dispatchAll dispatches a sequence of frames that the node sent to itself.
func (n *Node) dispatchAll(rest []byte) {
	for len(rest) > 0 {
		frame, next, err := NextFrame(rest)
		if err != nil || frame == nil {
			n.metrics.framesMalformed.Inc(1)
			return
		}
		rest = next
		if err := n.dispatch(n.cfg.Self, frame); err != nil {
			n.cfg.Log.Error("local message is malformed", "err", err)
		}
	}
}

// dispatch decodes a frame and calls its handler. An error means that the frame
// is malformed or of an unknown protocol version; an unknown kind is no error.
func (n *Node) dispatch(from string, frame []byte) error {
	kind, payload, err := SplitFrame(frame)
	if err != nil {
		n.metrics.framesMalformed.Inc(1)
		return err
	}
	n.metrics.messagesReceived.Inc(1)
	known, err := n.handlers.Dispatch(from, kind, payload)
	if err != nil {
		n.metrics.framesMalformed.Inc(1)
		return err
	}
	if !known {
		n.metrics.kindsUnknown.Inc(1)
	}
	return nil
}
