package membership

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUpdatesEndInTime checks that a mass of changes does not travel along for
// minutes after all daemons know it.
func TestUpdatesEndInTime(t *testing.T) {
	inCluster(t, 7, 300, func(c *cluster) {
		c.settle((rumourProbes + 2) * DefaultProbeInterval)
		for name, s := range c.services {
			assert.Equal(t, len(s.Servers("pembantu-llm")), 300)
			s.mu.Lock()
			waiting := len(s.rumours)
			s.mu.Unlock()
			assert.Equal(t, waiting, 0, name)
		}
	})
}

func TestMessagesStayWithinTheirBounds(t *testing.T) {
	inCluster(t, 7, 300, func(c *cluster) {
		s := c.services["entry-001"]
		s.mu.Lock()
		defer s.mu.Unlock()
		for name := range s.servers {
			s.spread(serverKey(name))
		}
		u := s.piggyback("entry-002")
		size := 0
		for _, r := range u.Servers {
			size += r.size()
		}
		assert.Assert(t, size > 0 && size <= piggybackBytes)
		assert.Assert(t, len(u.Samples) <= samplesPerMessage)
		all, more := s.recordsOf(^uint64(0), nil)
		assert.Assert(t, !more)
		assert.Equal(t, len(all.Servers), 300)
		assert.Equal(t, len(all.Daemons), 7)
	})
}
