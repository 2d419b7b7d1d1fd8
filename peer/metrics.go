package peer

import "github.com/rcrowley/go-metrics"

// nodeMetrics holds the metrics of a node and its links.
type nodeMetrics struct {
	messagesSent     metrics.Counter
	messagesReceived metrics.Counter
	messagesDropped  metrics.Counter
	bytesSent        metrics.Counter
	bytesReceived    metrics.Counter
	linksOpen        metrics.Counter
	linksFailed      metrics.Counter
	linksSilent      metrics.Counter
	dialsFailed      metrics.Counter
	handshakeRefused metrics.Counter
	framesMalformed  metrics.Counter
	kindsUnknown     metrics.Counter
}

func newNodeMetrics(r metrics.Registry) nodeMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return nodeMetrics{
		messagesSent:     counter("peer.messages.sent"),
		messagesReceived: counter("peer.messages.received"),
		messagesDropped:  counter("peer.messages.dropped"),
		bytesSent:        counter("peer.bytes.sent"),
		bytesReceived:    counter("peer.bytes.received"),
		linksOpen:        counter("peer.links.open"),
		linksFailed:      counter("peer.links.failed"),
		linksSilent:      counter("peer.links.silent"),
		dialsFailed:      counter("peer.dials.failed"),
		handshakeRefused: counter("peer.handshakes.refused"),
		framesMalformed:  counter("peer.frames.malformed"),
		kindsUnknown:     counter("peer.kinds.unknown"),
	}
}
