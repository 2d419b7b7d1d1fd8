// Package membership tracks which daemons are alive and which backend servers
// may receive work.
//
// Daemons detect failures with SWIM: direct and indirect probes, a suspicion
// that a daemon can refute, and updates that are sent along with the probes.
// Full state exchanges repair lost updates. A few daemons per region read the
// platform's host list and pass on its backend servers in the same way.
package membership

// DaemonState is the state of a daemon as the local daemon sees it.
type DaemonState uint8

// States of a daemon. Only Alive and Suspect daemons are schedulers.
const (
	Alive DaemonState = iota + 1
	Suspect
	Leaving
	Dead
)

// String returns the state in lower case.
func (s DaemonState) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Daemon describes a daemon.
type Daemon struct {
	Name        string
	Incarnation uint64
	State       DaemonState
	Region      string
	Domain      string
	PeerAddr    string
	CallerAddr  string
	// BundleVersion is the bundle version in force on the daemon.
	BundleVersion uint64
	// Load is the number of requests in flight on the daemon.
	Load uint32
}

// Server describes a backend server.
type Server struct {
	Name    string
	Addr    string
	Service string
	Region  string
	Domain  string
	// Leaving is set when the server must not receive new work.
	Leaving bool
}

// View provides read access to the membership. Implementations are safe for
// concurrent use. Returned slices are sorted by name and must not be modified.
type View interface {
	// Self returns the local daemon.
	Self() Daemon
	// Daemons returns the daemons that are Alive, Suspect or Leaving, self
	// included.
	Daemons() []Daemon
	// Schedulers returns the names of the daemons that may own servers: Alive
	// or Suspect, in the local region, self included unless it is stopping.
	Schedulers() []string
	// Servers returns the backend servers of a service, leaving ones included.
	Servers(service string) []Server
	// Server returns one backend server by name.
	Server(name string) (Server, bool)
	// ReportLeaving records that a server announced that it is leaving. The
	// change is sent to the other daemons.
	ReportLeaving(server string)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
