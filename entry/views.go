package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/jacinththread/jacinththread/entry/entryapi"
	"github.com/jacinththread/jacinththread/internal/boottime"
)

// viewRoutes adds the responses to operators.
func (d *Daemon) viewRoutes(router *mux.Router) {
	for path, view := range map[string]func() any{
		entryapi.LeadersPath:     func() any { return d.leaders() },
		entryapi.UsagePath:       func() any { return d.usageView() },
		entryapi.AutoscalingPath: func() any { return d.autoscaling() },
		entryapi.SharesPath:      func() any { return d.sharesView() },
	} {
		router.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { d.writeView(w, view()) }).Methods(http.MethodGet)
	}
}

func (d *Daemon) writeView(w http.ResponseWriter, view any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(view); err != nil {
		d.log.Debug("writing a response to an operator failed", "err", err)
	}
}

func (d *Daemon) leaders() entryapi.Leaders {
	out := entryapi.Leaders{Leaders: []entryapi.Leader{}}
	for _, e := range d.elections {
		l := entryapi.Leader{Role: e.Role()}
		if record, token, ok := e.Leader(); ok {
			l.Leader, l.Addr, l.Token = record.Leader, record.Addr, uint64(token)
		}
		if t := e.Term(); t != nil {
			l.LeftMs, l.SinceMs = t.Remaining().Milliseconds(), (boottime.Now() - t.Since).Milliseconds()
		}
		out.Leaders = append(out.Leaders, l)
	}
	return out
}

func (d *Daemon) usageView() entryapi.Usage {
	if d.metering == nil {
		return entryapi.Usage{}
	}
	return entryapi.Usage{Leads: d.metering.Leads(), Windows: d.metering.Recent()}
}

func (d *Daemon) autoscaling() entryapi.Autoscaling {
	if d.autoscaler == nil {
		return entryapi.Autoscaling{}
	}
	return entryapi.Autoscaling{Services: d.autoscaler.States()}
}

func (d *Daemon) sharesView() entryapi.Shares {
	return entryapi.Shares{Divided: d.shares != nil, Shares: d.shares.Shares(time.Now()), Waiting: d.waiters.Status()}
}
