package holdoff

import (
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/peer"
)

// message tells another daemon that a server asked for no requests.
type message struct {
	Server  string
	Started int64
	// ForMs is the length of the time.
	ForMs int64
	// OfSender is set if the server asked the sender, through which the receiver has tunnels to it. Otherwise it asked
	// the receiver, in the response to a request that the sender sent through it.
	OfSender bool
	// SpreadMs is the time over which the receivers spread their return after ForMs.
	SpreadMs int64
}

// Kind implements peer.Message.
func (*message) Kind() peer.Kind { return peer.KindHoldOff }

func (m *message) instance() backend.Instance {
	return backend.Instance{ID: m.Server, Started: m.Started}
}

// Exchange tells the daemons at both ends of tunnels what servers asked for.
type Exchange struct {
	list *List
	bus  peer.Bus
	// users returns the daemons that have tunnels to a server through the local one.
	users func(backend.Instance) []string
	// others returns the other live daemons.
	others func() []string
	log    *log.Logger
}

// NewExchange connects a list to those of other daemons and registers its message handler.
func NewExchange(l *List, bus peer.Bus, users func(backend.Instance) []string, others func() []string, logger *log.Logger) *Exchange {
	x := &Exchange{list: l, bus: bus, users: users, others: others, log: logger}
	bus.Handle(peer.KindHoldOff, func() peer.Message { return new(message) }, x.receive)
	l.exchange = x
	return x
}

// tell passes on what a server asked for.
func (x *Exchange) tell(server backend.Instance, via string, length time.Duration) {
	m := message{Server: server.ID, Started: server.Started, ForMs: length.Milliseconds()}
	if via != "" {
		x.send(via, m)
		return
	}
	x.tellUsers(m, "")
}

// tellUsers tells the daemons that have tunnels to the server that it asked the local daemon.
func (x *Exchange) tellUsers(m message, except string) {
	m.OfSender = true
	for _, name := range x.users(m.instance()) {
		if name != except {
			x.send(name, m)
		}
	}
}

// tellAll tells all other daemons that a fragile server refused a request. It returns the time over which
// daemons are to come back, so that they cause refusalShare of the refusals that the server stands.
func (x *Exchange) tellAll(server backend.Instance, maxRefusals float64) time.Duration {
	others := x.others()
	daemons := float64(len(others) + 1)
	spread := time.Duration(min(maxSpread.Seconds(), daemons/(refusalShare*maxRefusals)) * float64(time.Second))
	m := message{
		Server: server.ID, Started: server.Started, ForMs: refusedTime.Milliseconds(), OfSender: true,
		SpreadMs: spread.Milliseconds(),
	}
	if err := x.bus.SendAll(others, &m); err != nil {
		x.log.Warn("telling daemons that a server refused failed", "server", m.Server, "err", err)
	}
	return spread
}

func (x *Exchange) receive(from string, received peer.Message) {
	m := received.(*message)
	length := time.Duration(m.ForMs+rand.Int64N(max(0, m.SpreadMs)+1)) * time.Millisecond
	x.list.hold(m.instance(), length, time.Now(), from)
	if !m.OfSender {
		x.tellUsers(*m, from)
	}
}

func (x *Exchange) send(to string, m message) {
	if err := x.bus.Send(to, &m); err != nil {
		x.log.Warn("telling a daemon what a server asked for failed", "daemon", to, "server", m.Server, "err", err)
	}
}
