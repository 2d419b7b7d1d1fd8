package entry

import "reflect"

// reload reads the settings again and puts in force what a running daemon can
// change: the limit on repeats and the time for a planned stop. Settings that
// can't be read change nothing.
func (d *Daemon) reload(signalled bool) {
	if d.adapter.Reload == nil {
		return
	}
	next, err := d.adapter.Reload()
	if err != nil {
		d.log.Error("settings were not read, keeping the last ones", "signalled", signalled, "err", err)
		return
	}
	last := d.current.Load()
	next.Metrics = last.Metrics
	changed := !reflect.DeepEqual(last, next)
	if changed {
		d.current.Store(next)
		d.budget.SetLimit(next.Budget)
	}
	if changed || signalled {
		d.log.Info("settings read again", "signalled", signalled, "changed", changed,
			"retry_ratio", next.Budget.Ratio, "retry_allowance", next.Budget.Allowance, "grace", next.Grace)
	}
}
