package entry

import (
	"time"

	"github.com/jacinththread/jacinththread/kernel"
)

const (
	// upkeepInterval is the time between two rounds of upkeep.
	upkeepInterval = 250 * time.Millisecond
	// reloadRounds is the number of rounds between two looks at the settings
	// file, which may change without a signal.
	reloadRounds = 8
)

// newUpkeep returns the service that does what has to be done now and then.
func (d *Daemon) newUpkeep(kernel.Registry) (kernel.Service, error) {
	rounds := 0
	return kernel.NewPeriodic(upkeepInterval, func(now time.Time) {
		d.upkeep(now)
		if rounds++; rounds%reloadRounds == 0 {
			d.reload(false)
		}
	}), nil
}

// upkeep drops servers, connections and memories that are no longer needed, and
// counts the registered daemons.
func (d *Daemon) upkeep(now time.Time) {
	d.catalog.SetStoreAway(d.copy.Status().Away, now)
	d.catalog.Settle(now)
	d.pool.Sweep(d.catalog.Usable)
	d.tracker.Forget(d.catalog.Known)
	d.registered.Store(int64(len(d.copy.Records(DaemonsPrefix))))
}
