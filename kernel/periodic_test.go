package kernel

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestPeriodicCallsUntilItStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		p := NewPeriodic(time.Second, func(time.Time) { calls++ })
		assert.NilError(t, p.Start(t.Context()))
		time.Sleep(3500 * time.Millisecond)
		assert.NilError(t, p.Stop(t.Context()))
		assert.Equal(t, calls, 3)
		time.Sleep(time.Minute)
		assert.Equal(t, calls, 3)
	})
}
