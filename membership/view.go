// Package membership knows which daemons are live and which backend servers
// may receive work.
package membership

// DaemonState is what this daemon believes about another.
type DaemonState uint8

// States of a daemon. Only Alive and Suspect daemons get messages.
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

// Daemon describes one daemon of the system.
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
	// Load is the number of requests the daemon holds.
	Load uint32
}

// Server describes one backend server.
type Server struct {
	Name    string
	Addr    string
	Service string
	Region  string
	Domain  string
	// Leaving is set when the server must get no new work.
	Leaving bool
}

// View is a consistent read of the membership. Implementations are safe for
// concurrent use; returned slices are sorted by name and must not be changed.
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
	// ReportLeaving records that a server itself said it is leaving. The fact
	// is spread to the other daemons.
	ReportLeaving(server string)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
