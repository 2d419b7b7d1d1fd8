package resume

import (
	"time"

	"github.com/jacinththread/jacinththread/peer"
)

// originMessage tells where a stream began.
type originMessage struct {
	Stream, Service, Version string
}

// Kind implements peer.Message.
func (*originMessage) Kind() peer.Kind { return peer.KindStreamOrigin }

// queryMessage asks where a stream began.
type queryMessage struct {
	// Number identifies the query at its sender.
	Number uint64
	Stream string
}

// Kind implements peer.Message.
func (*queryMessage) Kind() peer.Kind { return peer.KindStreamQuery }

// replyMessage answers a query. The service is empty if the sender doesn't know the stream.
type replyMessage struct {
	Number           uint64
	Service, Version string
}

// Kind implements peer.Message.
func (*replyMessage) Kind() peer.Kind { return peer.KindStreamReply }

func (r *replyMessage) origin() Origin { return Origin{Service: r.Service, Version: r.Version} }

func (d *Directory) receiveOrigin(_ string, m peer.Message) {
	msg := m.(*originMessage)
	if origin := (Origin{Service: msg.Service, Version: msg.Version}); origin.known() {
		d.store(msg.Stream, origin)
	}
}

func (d *Directory) receiveQuery(from string, m peer.Message) {
	msg := m.(*queryMessage)
	origin, _ := d.streams.get(msg.Stream, time.Now())
	d.send(from, &replyMessage{Number: msg.Number, Service: origin.Service, Version: origin.Version})
}

// receiveReply passes a reply on to its query. Replies to queries that have ended are dropped.
func (d *Directory) receiveReply(_ string, m peer.Message) {
	msg := m.(*replyMessage)
	d.mu.Lock()
	replies := d.queries[msg.Number]
	d.mu.Unlock()
	select {
	case replies <- *msg:
	default:
	}
}
