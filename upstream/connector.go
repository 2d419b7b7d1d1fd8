package upstream

import (
	"context"
	"net"
	"time"

	"github.com/jacinththread/jacinththread/backend"
)

// Link is an open connection to a server and the path that it takes.
type Link struct {
	net.Conn
	// Via is the daemon through which the connection leads; empty if it is direct.
	Via string
}

// Paths tells which connections to a server a request may use.
type Paths struct {
	// Direct is set if new connections are opened directly, and not through another daemon.
	Direct bool
	// ProvenSince is the time since which an idle direct connection must have been used. Older ones may have
	// been lost without notice.
	ProvenSince time.Time
}

// Connector opens connections to servers, decides which paths they take and is told what happens on them.
type Connector interface {
	// Paths returns the paths of one request to a server.
	Paths(server backend.Instance, repeatable bool) Paths
	// Connect opens a connection to a server.
	Connect(ctx context.Context, s *backend.Server, p Paths) (Link, error)
	// ConnectSame opens a connection to a server over a given path: directly if via is empty, or through that daemon.
	ConnectSame(ctx context.Context, s *backend.Server, via string) (Link, error)
	// Usable reports whether idle connections through a daemon may still be used.
	Usable(daemon string) bool
	// Heard is called when the head of a response of a server arrived on a direct connection.
	Heard(server backend.Instance)
	// Received is called when a part of the body of a response arrived on a direct connection.
	Received()
	// Unanswered is called when a request on a direct connection has no response after a while, or lost its
	// connection before. A response may still arrive.
	Unanswered(server backend.Instance, sentAt time.Time)
	// HasEnded reports whether the process of a server that just broke a connection has ended: its host
	// answers, and nothing listens at the server's address.
	HasEnded(ctx context.Context, s *backend.Server) bool
}
