package tunnel

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/peer"
	"github.com/jacinththread/jacinththread/placement"
)

// TestSearchesGoOnWhileRequestsKeepArriving guards against a pause between searches that never ends: each
// request that arrived during the pause, for which no daemon was asked, counted as another failed search and
// began the pause anew.
func TestSearchesGoOnWhileRequestsKeepArriving(t *testing.T) {
	const interval, length = 50 * time.Millisecond, 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		var asked []time.Time
		client := NewClient(ClientConfig{
			OpenStream: func(context.Context, string) (*peer.Stream, error) {
				asked = append(asked, time.Now())
				return nil, errors.New("daemon isn't reached")
			},
			Fleet: func() placement.Fleet { return placement.Fleet{Others: []placement.Peer{{Name: "other"}}} },
			Log:   log.New(io.Discard), Metrics: metrics.NewRegistry(),
		})
		for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
			_, _, err := client.Open(t.Context(), backend.Instance{ID: "server"})
			assert.Assert(t, err != nil)
		}
		last := time.Now()
		for i := len(asked) - 1; i >= 0; i-- {
			pause := last.Sub(asked[i])
			assert.Assert(t, pause <= maxSearchPause+failedPause+interval, "no daemon was asked for %v", pause)
			last = asked[i]
		}
		assert.Assert(t, len(asked) > 0)
	})
}
