package mirror

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/peer/peertest"
)

// oldResponse is response as daemons of older versions send it.
type oldResponse struct {
	At               uint64
	AgeMs            int64
	StoreUnavailable bool
	Complete         bool
	Packed           []byte
}

func (*oldResponse) Kind() peer.Kind { return peer.KindMirrorResponse }

// TestDaemonsOfTwoVersionsExchangeRecords guards against fields that change their position in a message.
func TestDaemonsOfTwoVersionsExchangeRecords(t *testing.T) {
	var received response
	peertest.Transmit(t, &oldResponse{At: 4, AgeMs: 200, StoreUnavailable: true, Complete: true, Packed: []byte("records")}, &received)
	assert.Equal(t, received.At, uint64(4))
	assert.Equal(t, received.AgeMs, int64(200))
	assert.Assert(t, received.Complete)
	assert.Equal(t, string(received.Packed), "records")

	var old oldResponse
	peertest.Transmit(t, &response{At: 5, AgeMs: 300, Complete: true, Packed: []byte("changes")}, &old)
	assert.DeepEqual(t, old, oldResponse{At: 5, AgeMs: 300, Complete: true, Packed: []byte("changes")})
}
