// Package peer carries typed messages between daemons.
//
// Delivery is at most once and unordered across reconnects: a message may be
// lost when a link fails. Every protocol built on this package must tolerate
// lost, delayed, duplicate and reordered messages.
package peer

import "errors"

// Kind identifies a message type on the wire. The value of a removed kind is
// never reused.
type Kind uint8

// Message kinds, grouped by the package that owns them.
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
	KindMirrorResponse Kind = 58

	KindServerLoads  Kind = 60
	KindServerTotals Kind = 61
	KindServerLimits Kind = 62
	KindQuarantine   Kind = 63

	KindTunnelOpen  Kind = 88
	KindTunnelReply Kind = 89
	KindHoldOff     Kind = 90

	KindServerLeaving Kind = 96

	KindTrialQuestion Kind = 80
	KindTrialReply    Kind = 81

	KindStreamOrigin Kind = 72
	KindStreamQuery  Kind = 73
	KindStreamReply  Kind = 74

	KindUsageCounts  Kind = 104
	KindUsageConfirm Kind = 105

	KindClaim      Kind = 64
	KindClaimReply Kind = 65
)

// Message is a typed message between daemons. Structs are encoded as msgpack
// arrays, so new fields may only be added at the end.
type Message interface {
	Kind() Kind
}

// Handler handles a received message. It must not block: long-running work
// belongs in a goroutine of the handling service.
type Handler func(from string, m Message)

// Errors returned by Bus.Send. A nil error doesn't mean that the message was
// delivered.
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
	// Send queues a message for a peer. It never blocks.
	Send(to string, m Message) error
	// SendAll queues a message for several peers, as Send does for one. The error is
	// of the first that fails.
	SendAll(to []string, m Message) error
	// Handle registers the handler of a kind. The factory returns a new empty
	// message to decode into. Handle panics if the kind already has a handler.
	Handle(kind Kind, factory func() Message, h Handler)
	// OnLinkDown registers a callback that is called with the name of a peer when
	// the link to it can't be opened, fails or gets no reply.
	OnLinkDown(func(name string))
}
