package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestDaemonAloneShowsItsOwnVersion checks that a new bundle version of the local
// daemon is published without a change of another daemon. Callers select daemons
// by the published version.
func TestDaemonAloneShowsItsOwnVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 0)
		c.advance(time.Minute)
		s := c.services[c.names[0]]
		s.SetBundleVersion(7)
		daemons := s.Daemons()
		assert.Equal(t, len(daemons), 1)
		assert.Equal(t, daemons[0].BundleVersion, uint64(7))
		c.stop()
	})
}
