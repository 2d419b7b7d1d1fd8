package entry

import (
	"time"

	"github.com/jacinththread/jacinththread/kernel"
)

const (
	// upkeepInterval is the time between two runs of the periodic maintenance.
	upkeepInterval = 250 * time.Millisecond
	// roundsPerReload is the number of maintenance rounds between two reloads of
	// the settings, whose file may change without a signal.
	roundsPerReload = 8
)

// newUpkeep returns the service that runs the periodic maintenance and reloads the
// settings.
func (d *Daemon) newUpkeep(kernel.Registry) (kernel.Service, error) {
	rounds := 0
	return kernel.NewPeriodic(upkeepInterval, func(now time.Time) {
		d.upkeep(now)
		if rounds++; rounds%roundsPerReload == 0 {
			d.reload(false)
		}
	}), nil
}

// upkeep removes servers, connections and placement statistics that are no longer
// needed, and counts the registered daemons.
func (d *Daemon) upkeep(time.Time) {
	d.catalog.RemoveExpired(freshness(d.copy.Status()))
	d.pool.Sweep(d.catalog.Usable)
	d.tracker.Forget(d.catalog.Known)
	d.registered.Store(int64(len(d.copy.Records(DaemonsPrefix))))
}
