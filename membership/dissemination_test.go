package membership

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUpdatesExpire checks that the update queue is empty soon after all daemons
// have received a large batch of changes. Without a maximum age, updates would
// be retransmitted for minutes.
func TestUpdatesExpire(t *testing.T) {
	inCluster(t, 7, 300, func(c *cluster) {
		c.advance((maxUpdateAgeProbes + 2) * DefaultProbeInterval)
		for name, s := range c.services {
			assert.Equal(t, len(s.Servers("pembantu-llm")), 300)
			s.mu.Lock()
			waiting := len(s.updateQueue)
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
			s.queueUpdate(serverKey(name))
		}
		u := s.piggyback("entry-002")
		size := 0
		for _, r := range u.Servers {
			size += r.size()
		}
		assert.Assert(t, size > 0 && size <= maxPiggybackBytes)
		assert.Assert(t, len(u.Samples) <= samplesPerMessage)
		all, more := s.recordsOf(^uint64(0), nil)
		assert.Assert(t, !more)
		assert.Equal(t, len(all.Servers), 300)
		assert.Equal(t, len(all.Daemons), 7)
	})
}
