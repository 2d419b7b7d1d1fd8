// Package operatorapi defines the JSON responses of the operator API. The daemon
// encodes them and the command-line tool decodes them.
package operatorapi

import (
	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/scheduler"
)

// Proposed is the response to a proposal. The digest identifies the content that
// reviewers approve.
type Proposed struct {
	ChangeID string       `json:"change_id"`
	Digest   string       `json:"digest"`
	Findings finding.List `json:"findings"`
}

// Review is a proposal with the information to decide on its approval: the
// findings, the version in force and a diff.
type Review struct {
	Proposal bundle.Proposal `json:"proposal"`
	Findings finding.List    `json:"findings"`
	Current  bundle.Pointer  `json:"current"`
	Diff     string          `json:"diff"`
}

// Status is the version in force in the deployment and on each daemon.
type Status struct {
	// Current is the version in force in the store or, while the store is
	// unavailable, on the responding daemon; zero if there is none.
	Current bundle.Pointer  `json:"current"`
	Daemons []DaemonVersion `json:"daemons"`
}

// DaemonVersion is the version in force on one daemon.
type DaemonVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// History lists versions without their content, newest first.
type History struct {
	Versions []*bundle.Record `json:"versions"`
}

// Members lists the daemons that the responding daemon knows and that are not
// dead.
type Members struct {
	Members []Member `json:"members"`
}

// Member is a daemon as the responding daemon knows it.
type Member struct {
	Name          string `json:"name"`
	State         string `json:"state"`
	Region        string `json:"region"`
	Domain        string `json:"domain"`
	PeerAddr      string `json:"peer_addr"`
	CallerAddr    string `json:"caller_addr"`
	BundleVersion uint64 `json:"bundle_version"`
	// Load is the number of requests in flight on the daemon.
	Load uint32 `json:"load"`
}

// Servers lists the backend servers of all services.
type Servers struct {
	Servers []Server `json:"servers"`
}

// Server is a backend server as the responding daemon knows it.
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

// Queues lists the waiting and running requests of the responding daemon's
// scheduler.
type Queues struct {
	Queues []scheduler.PoolSnapshot `json:"queues"`
}
