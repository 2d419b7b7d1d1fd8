package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/peer/peertest"
)

// oldLoad is serverLoad as daemons of older versions send it.
type oldLoad struct {
	Server     string
	Started    int64
	Running    int32
	Tight      int32
	Backlog    int32
	MemoryUsed int32
	Parts      []uint64
}

type oldLoadsMessage struct{ Loads []oldLoad }

func (*oldLoadsMessage) Kind() peer.Kind { return peer.KindServerLoads }

// TestDaemonsOfTwoVersionsExchangeLoads guards against fields that change their position in a message.
func TestDaemonsOfTwoVersionsExchangeLoads(t *testing.T) {
	old := oldLoad{Server: "a", Started: 7, Running: 3, Tight: 1, Backlog: 900, MemoryUsed: 5000, Parts: []uint64{8, 9}}
	var received loadsMessage
	peertest.Transmit(t, &oldLoadsMessage{Loads: []oldLoad{old, old}}, &received)
	assert.Equal(t, len(received.Loads), 2)
	l := received.Loads[1]
	assert.DeepEqual(t, oldLoad{l.Server, l.Started, l.Running, l.Tight, l.Backlog, l.MemoryUsed, l.Parts}, old)
	assert.Equal(t, l.tokens(), byUrgency{0: 900})

	b := byUrgency{2: 400, 5: 500}
	l.setTokens(&b)
	var back oldLoadsMessage
	peertest.Transmit(t, &loadsMessage{Loads: []serverLoad{l, l}}, &back)
	assert.DeepEqual(t, back.Loads, []oldLoad{old, old})
	peertest.Transmit(t, &loadsMessage{Loads: []serverLoad{l}}, &received)
	assert.Equal(t, received.Loads[0].tokens(), b)
}
