package tunnel

import (
	"fmt"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/peer"
)

// openRequest asks a daemon for a connection to a server.
type openRequest struct {
	Server  string
	Started int64
}

// Kind implements peer.Message.
func (*openRequest) Kind() peer.Kind { return peer.KindTunnelOpen }

func newOpenRequest(server backend.Instance) *openRequest {
	return &openRequest{Server: server.ID, Started: server.Started}
}

func (r *openRequest) instance() backend.Instance {
	return backend.Instance{ID: r.Server, Started: r.Started}
}

// openReply is the response to an openRequest. After opened, the stream carries the connection.
type openReply struct {
	Result result
	// Tunnels is the number of tunnels that the daemon carries.
	Tunnels int32
	// Isolated is set if the daemon itself has lost its path to the servers.
	Isolated bool
	// RetryAfterMs is the time after which a daemon that is busy, or a server that wants no requests now, may be
	// asked again; zero if it isn't known.
	RetryAfterMs int64
}

// Kind implements peer.Message.
func (*openReply) Kind() peer.Kind { return peer.KindTunnelReply }

// result is the outcome of an openRequest.
type result uint8

const (
	opened result = iota + 1
	// unknownServer means that the daemon's catalog doesn't have the server, or that it is draining.
	unknownServer
	// refused means that the server's host is reached and nothing listens there.
	refused
	// unreachable means that the daemon doesn't reach the server either.
	unreachable
	// busy means that the daemon carries as many tunnels as it may.
	busy
	// heldOff means that the server asked the daemon's host for no requests.
	heldOff
	// unknownDaemon means that the daemon that asks isn't known as a member of the fleet.
	unknownDaemon
)

var resultNames = map[result]string{
	opened: "opened", unknownServer: "unknown server", refused: "connection refused",
	unreachable: "server unreachable", busy: "too many tunnels", heldOff: "server wants no requests", unknownDaemon: "unknown daemon",
}

func (r result) String() string {
	if name, ok := resultNames[r]; ok {
		return name
	}
	return fmt.Sprintf("result %d", uint8(r))
}

// OpenError is the response of a daemon that didn't open a tunnel.
type OpenError struct {
	Daemon string
	result result
	// isolated is set if the daemon has lost its path to the servers.
	isolated bool
}

// Error implements error.
func (e *OpenError) Error() string {
	return fmt.Sprintf("daemon %s opened no tunnel: %s", e.Daemon, e.result)
}

// Isolated reports whether the daemon itself has lost its path to the servers.
func (e *OpenError) Isolated() bool { return e.isolated }
