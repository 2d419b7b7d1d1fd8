package measure

import (
	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
)

// fixedView is a membership view that never changes. It lists crashed servers
// too, so they are detected by failed dispatches only.
type fixedView struct {
	self    string
	daemons []string
	servers []membership.Server
}

func newFixedView(self string) *fixedView {
	v := &fixedView{self: self}
	for i := range daemonCount {
		v.daemons = append(v.daemons, daemonName(i))
	}
	for i := range serverCount {
		v.servers = append(v.servers, membership.Server{Name: serverName(i), Service: serviceName, Region: region})
	}
	return v
}

// daemon returns an alive daemon in the simulated region.
func daemon(name string) membership.Daemon {
	return membership.Daemon{Name: name, State: membership.Alive, Region: region}
}

// Self implements membership.View.
func (v *fixedView) Self() membership.Daemon { return daemon(v.self) }

// Daemons implements membership.View.
func (v *fixedView) Daemons() []membership.Daemon {
	var all []membership.Daemon
	for _, name := range v.daemons {
		all = append(all, daemon(name))
	}
	return all
}

// Schedulers implements membership.View.
func (v *fixedView) Schedulers() []string { return v.daemons }

// Servers implements membership.View.
func (v *fixedView) Servers(string) []membership.Server { return v.servers }

// Server implements membership.View.
func (v *fixedView) Server(name string) (membership.Server, bool) {
	for _, s := range v.servers {
		if s.Name == name {
			return s, true
		}
	}
	return membership.Server{}, false
}

// ReportLeaving implements membership.View.
func (v *fixedView) ReportLeaving(string) {}

// Changed implements membership.View.
func (v *fixedView) Changed() <-chan struct{} { return nil }

// fixedBundle is a bundle source that never changes.
type fixedBundle struct{ active *bundle.Active }

// Current implements bundle.Source.
func (b fixedBundle) Current() *bundle.Active { return b.active }

// Changed implements bundle.Source.
func (b fixedBundle) Changed() <-chan struct{} { return nil }
