package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
)

// Hosts that were replaced under new names stay among the seeds of old
// settings. They must not count for the majority that a start without the store
// needs.
func TestReplacedSeedsDoNotCountAsPeersOnceTheListIsKnown(t *testing.T) {
	live := []membership.Daemon{{Name: "new-1", Region: "r"}, {Name: "new-2", Region: "r"}}
	seeds := []string{"old-1", "old-2", "old-3"}
	assert.DeepEqual(t, bundlePeers(live, []string{"new-1", "new-2", "new-3"}, seeds), []bundle.Peer{
		{Name: "new-1", Region: "r", Live: true}, {Name: "new-2", Region: "r", Live: true}, {Name: "new-3"},
	})
	assert.Equal(t, len(bundlePeers(live, nil, seeds)), 5, "without a list the seeds stand for it")
}
