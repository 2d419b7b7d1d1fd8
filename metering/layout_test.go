package metering

import (
	"testing"

	"github.com/jacinththread/jacinththread/peer/peertest"
)

// TestMessagesKeepTheirLayout guards against messages that daemons of earlier versions would misread.
func TestMessagesKeepTheirLayout(t *testing.T) {
	peertest.CheckLayout(t, &countsMessage{}, &confirmMessage{})
}
