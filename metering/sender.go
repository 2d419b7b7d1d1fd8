package metering

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/store"
)

const (
	// sendTick is the shortest time between two messages, and sendIntervalPerDaemon times the number of
	// daemons the time in a large fleet, so that the rate of messages to the leader stays bounded.
	sendTick              = 300 * time.Millisecond
	sendIntervalPerDaemon = 5 * time.Millisecond
	// settleTime is how long ago a slot ended before its counts are sent: a request is counted when its
	// response is seen, which may be some time after it began.
	settleTime = 400 * time.Millisecond
	// maxCounts bounds the counts in a message.
	maxCounts = 2000
)

// countsMessage carries the counts of the sender's slots.
type countsMessage struct {
	// Run is the number of the sender's process.
	Run uint64
	// Token is that of the leader's term.
	Token uint64
	// NowMs is the sender's clock of slots, WallMs its clock in Unix milliseconds, both when the message was sent.
	NowMs, WallMs int64
	// From and To bound the slots whose counts the message has: From is the first, To follows the last.
	From, To int64
	// Customers are the names that Counts refer to.
	Customers []string
	Counts    []slotCount
}

// slotCount is the number of requests of a customer in a slot.
type slotCount struct {
	// Slot is relative to From, Customer is an index.
	Slot     int32
	Customer int32
	N        int32
}

// Kind implements peer.Message.
func (*countsMessage) Kind() peer.Kind { return peer.KindUsageCounts }

// confirmMessage tells the sender up to which slot the leader has its counts.
type confirmMessage struct {
	Run   uint64
	Token uint64
	To    int64
}

// Kind implements peer.Message.
func (*confirmMessage) Kind() peer.Kind { return peer.KindUsageConfirm }

// Sender is the service that sends the counts of the local daemon to the leader.
type Sender struct {
	*kernel.Periodic
	counter *Counter
	bus     peer.Bus
	// leader returns the address and the token of the leader.
	leader  func() (addr string, token store.Revision, ok bool)
	daemons func() int
	run     uint64
	log     *log.Logger
	sent    metrics.Counter

	mu sync.Mutex
	// token is that of the leader to which confirmed applies.
	token store.Revision
	// confirmed is the slot up to which the leader has the counts.
	confirmed int64
	lastSent  time.Duration
}

// NewSender returns a sender that has not been started and registers its message handler.
func NewSender(c *Counter, bus peer.Bus, leader func() (string, store.Revision, bool), daemons func() int, logger *log.Logger, registry metrics.Registry) *Sender {
	s := &Sender{
		counter: c, bus: bus, leader: leader, daemons: daemons, run: rand.Uint64(), log: logger,
		sent: metrics.GetOrRegisterCounter("metering.messages", registry),
	}
	s.Periodic = kernel.NewPeriodic(sendTick, func(time.Time) { s.tick() })
	bus.Handle(peer.KindUsageConfirm, func() peer.Message { return new(confirmMessage) }, s.onConfirm)
	return s
}

func (s *Sender) tick() {
	s.counter.forget()
	addr, token, ok := s.leader()
	if !ok {
		return
	}
	m := s.next(token)
	if m == nil {
		return
	}
	s.sent.Inc(1)
	if err := s.bus.Send(addr, m); err != nil {
		s.log.Debug("sending usage counts failed", "leader", addr, "err", err)
	}
}

// next returns the message to send to the leader with the given token, or nil if it isn't time for one.
func (s *Sender) next(token store.Revision) *countsMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.counter.clock()
	if token != s.token {
		s.token, s.confirmed, s.lastSent = token, 0, 0
	}
	if now-s.lastSent < sendIntervalPerDaemon*time.Duration(s.daemons()) {
		return nil
	}
	s.lastSent = now
	from := max(s.confirmed, s.counter.oldestKept())
	to := slotOf(now - settleTime)
	m := newCountsMessage(now, from, s.counter.toSend(from, to), to)
	m.Run, m.Token = s.run, uint64(token)
	return m
}

// newCountsMessage encodes counts in the order of slots. If there are too many for one message, it has those of the
// first slots.
func newCountsMessage(now time.Duration, from int64, counts []count, to int64) *countsMessage {
	if len(counts) > maxCounts {
		to = counts[maxCounts].Slot
	}
	m := &countsMessage{NowMs: now.Milliseconds(), WallMs: time.Now().UnixMilli(), From: from, To: max(from, to)}
	index := map[string]int32{}
	for _, c := range counts {
		if c.Slot >= to {
			break
		}
		if _, known := index[c.Customer]; !known {
			index[c.Customer] = int32(len(m.Customers))
			m.Customers = append(m.Customers, c.Customer)
		}
		m.Counts = append(m.Counts, slotCount{Slot: int32(c.Slot - from), Customer: index[c.Customer], N: int32(c.N)})
	}
	return m
}

func (s *Sender) onConfirm(_ string, m peer.Message) {
	msg := m.(*confirmMessage)
	s.mu.Lock()
	defer s.mu.Unlock()
	if msg.Token == uint64(s.token) && msg.Run == s.run {
		s.confirmed = max(s.confirmed, msg.To)
	}
}
