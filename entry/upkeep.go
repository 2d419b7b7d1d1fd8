package entry

import (
	"strings"
	"time"

	"github.com/jacinththread/jacinththread/budget"
	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/ratelimit"
	"github.com/jacinththread/jacinththread/store"
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

// registeredDaemons returns the names of the daemons that have a record in the store, and the revision of the local
// daemon's record, or 0 if it has none.
func (d *Daemon) registeredDaemons() (names []string, own store.Revision) {
	for _, e := range d.copy.Records(DaemonsPrefix) {
		name := strings.TrimPrefix(e.Key, DaemonsPrefix)
		names = append(names, name)
		if name == d.settings.Peers {
			own = e.Revision
		}
	}
	return names, own
}

// upkeep removes what is kept about servers that are gone, and tells the budget and the
// rate limits which daemons share them.
func (d *Daemon) upkeep(now time.Time) {
	d.catalog.RemoveExpired(freshness(d.copy.Status()))
	d.pool.Sweep(d.catalog.Usable)
	d.reach.Forget(d.catalog.Known)
	d.tunnels.Forget(now)
	d.tracker.Forget(d.catalog.Known)
	d.notices.Forget(d.catalog.Known)
	d.holdOffs.Forget(d.catalog.Known)
	d.rateLimits.Forget(d.catalog.Known)
	d.quarantine.Forget(now)
	d.shareLimits(now)
}

// shareLimits tells the retry budget and the rate limits which daemons share them.
func (d *Daemon) shareLimits(now time.Time) {
	age := now.Sub(d.copy.Status().Updated) // read before the records, which may be newer
	registered, own := d.registeredDaemons()
	d.registered.Store(int64(len(registered)))
	d.rateLimits.SetView(ratelimit.View{
		Alive: append(d.fleet.OtherNames(), d.settings.Peers), Registered: registered, RecordsAge: age,
	}, now)
	d.budget.SetView(budget.View{Daemons: d.daemonCount(), Registration: int64(own), Age: age})
}
