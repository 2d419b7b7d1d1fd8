package peertest

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/peer"
)

// Transmit encodes a message and decodes it into another, which may be the type of
// another version.
func Transmit(t testing.TB, sent, received peer.Message) {
	t.Helper()
	b, err := peer.AppendFrame(nil, sent)
	assert.NilError(t, err)
	frame, _, err := peer.NextFrame(b)
	assert.NilError(t, err)
	_, payload, err := peer.SplitFrame(frame)
	assert.NilError(t, err)
	assert.NilError(t, peer.Decode(payload, received))
}
