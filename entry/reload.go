package entry

import "reflect"

// reload loads the settings again and applies those that can change at runtime:
// the retry budget and the grace period. If the settings cannot be loaded, the
// current ones stay in force. The signalled flag is set if a signal requested the
// reload.
func (d *Daemon) reload(signalled bool) {
	if d.adapter.Reload == nil {
		return
	}
	next, err := d.adapter.Reload()
	if err != nil {
		d.log.Error("loading the settings failed, keeping the current ones", "signalled", signalled, "err", err)
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
		d.log.Info("settings reloaded", "signalled", signalled, "changed", changed,
			"retry_ratio", next.Budget.Ratio, "retry_allowance", next.Budget.Allowance, "grace", next.Grace)
	}
}
