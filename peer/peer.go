// Package peer carries typed messages between daemons.
//
// Delivery is at most once and unordered across reconnects: a message may be
// lost when a link fails. Every protocol above this package tolerates lost,
// late, doubled and reordered messages.
package peer

import "errors"

// Kind identifies a message type on the wire. Values are never reused.
type Kind uint8

// Message kinds by the package that owns them.
const (
	KindHello     Kind = 1
	KindAuth      Kind = 2
	KindHeartbeat Kind = 3

	KindReserve        Kind = 16
	KindQueued         Kind = 17
	KindInfeasible     Kind = 18
	KindGrant          Kind = 19
	KindAccept         Kind = 20
	KindDecline        Kind = 21
	KindCancel         Kind = 22
	KindDone           Kind = 23
	KindDeclare        Kind = 24
	KindDeclareRequest Kind = 25

	KindPing        Kind = 32
	KindPingRequest Kind = 33
	KindAck         Kind = 34
	KindGossip      Kind = 35
	KindSync        Kind = 36

	KindBundleDigest  Kind = 48
	KindBundleRequest Kind = 49
	KindBundleBody    Kind = 50

	KindMirrorPosition Kind = 56
	KindMirrorAnswer   Kind = 58

	KindServerLoads  Kind = 60
	KindServerTotals Kind = 61

	KindClaim      Kind = 64
	KindClaimReply Kind = 65
)

// Message is a typed message between daemons. Structs are encoded as
// msgpack arrays; a field is only ever added at the end.
type Message interface {
	Kind() Kind
}

// Handler receives a message. It must not block: long work goes to a
// goroutine of the handling service.
type Handler func(from string, m Message)

// Errors of Bus.Send. A nil error does not mean delivery.
var (
	ErrUnknownPeer = errors.New("peer has no known address")
	ErrQueueFull   = errors.New("send queue of the peer link is full")
	ErrTooLarge    = errors.New("message exceeds the frame size limit")
	ErrClosed      = errors.New("peer bus is closed")
)

// Bus sends and receives messages by daemon name. It is safe for concurrent
// use. A message to Self is delivered locally.
type Bus interface {
	// Self returns the name of the local daemon.
	Self() string
	// Send queues a message for a peer and never blocks.
	Send(to string, m Message) error
	// Handle registers the handler of a kind. The factory returns a new empty
	// message to decode into. Registering a kind twice panics.
	Handle(kind Kind, factory func() Message, h Handler)
	// OnLinkDown registers a callback for a link that failed or fell silent.
	OnLinkDown(func(name string))
}
