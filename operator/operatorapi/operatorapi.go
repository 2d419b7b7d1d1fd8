// Package operatorapi holds the answers of the operators' interface, for the
// daemon that gives them and the tool that reads them.
package operatorapi

import (
	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/scheduler"
)

// Proposed names what reviewers approve.
type Proposed struct {
	ChangeID string       `json:"change_id"`
	Digest   string       `json:"digest"`
	Findings finding.List `json:"findings"`
}

// Review is what an operator reads before approving a change.
type Review struct {
	Proposal bundle.Proposal `json:"proposal"`
	Findings finding.List    `json:"findings"`
	Current  bundle.Pointer  `json:"current"`
	Diff     string          `json:"diff"`
}

// Status tells which version is in force where.
type Status struct {
	// Current is the version in force by the store, or on the asked daemon
	// while the store is down; zero if there is none.
	Current bundle.Pointer  `json:"current"`
	Daemons []DaemonVersion `json:"daemons"`
}

// DaemonVersion is the version in force on a daemon.
type DaemonVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// History lists versions, the newest first, without their content.
type History struct {
	Versions []*bundle.Record `json:"versions"`
}

// Members lists the daemons that the asked one knows and that are not dead.
type Members struct {
	Members []Member `json:"members"`
}

// Member is a daemon as the asked one knows it.
type Member struct {
	Name          string `json:"name"`
	State         string `json:"state"`
	Region        string `json:"region"`
	Domain        string `json:"domain"`
	PeerAddr      string `json:"peer_addr"`
	CallerAddr    string `json:"caller_addr"`
	BundleVersion uint64 `json:"bundle_version"`
	// Load is the number of requests the daemon holds.
	Load uint32 `json:"load"`
}

// Servers lists the backend servers of all services.
type Servers struct {
	Servers []Server `json:"servers"`
}

// Server is a backend server as the asked daemon knows it.
type Server struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Service string `json:"service"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	// Owner is empty if no owner's pattern matches the server.
	Owner   string `json:"owner"`
	Leaving bool   `json:"leaving"`
}

// Queues tells what waits and runs at the asked daemon's scheduler.
type Queues struct {
	Queues []scheduler.PoolSnapshot `json:"queues"`
}
