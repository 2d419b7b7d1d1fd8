package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
)

// The seeds of old settings may name hosts that have been replaced under new
// names. Such hosts must not count towards the majority that a daemon needs when
// it starts without the store.
func TestReplacedSeedsDoNotCountAsPeersOnceTheListIsKnown(t *testing.T) {
	live := []membership.Daemon{{Name: "new-1", Region: "r"}, {Name: "new-2", Region: "r"}}
	seeds := []string{"old-1", "old-2", "old-3"}
	assert.DeepEqual(t, bundlePeers(live, []string{"new-1", "new-2", "new-3"}, seeds), []bundle.Peer{
		{Name: "new-1", Region: "r", Live: true}, {Name: "new-2", Region: "r", Live: true}, {Name: "new-3"},
	})
	assert.Equal(t, len(bundlePeers(live, nil, seeds)), 5, "the seeds replace a missing host list")
}
