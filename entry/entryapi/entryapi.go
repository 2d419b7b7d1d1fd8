// Package entryapi defines the responses of an entry daemon to operators, on the address of its metrics.
package entryapi

import (
	"github.com/jacinththread/jacinththread/admission"
	"github.com/jacinththread/jacinththread/autoscale"
	"github.com/jacinththread/jacinththread/fairshare"
	"github.com/jacinththread/jacinththread/metering"
)

// URL paths of the responses.
const (
	LeadersPath     = "/v1/leaders"
	UsagePath       = "/v1/usage"
	AutoscalingPath = "/v1/autoscaling"
	SharesPath      = "/v1/shares"
)

// Leaders lists who leads each role, as one daemon knows it.
type Leaders struct {
	Leaders []Leader `json:"leaders"`
}

// Leader is the leader of a role.
type Leader struct {
	Role string `json:"role"`
	// Leader and Addr are empty while nobody leads.
	Leader string `json:"leader"`
	Addr   string `json:"addr"`
	Token  uint64 `json:"token"`
	// LeftMs is how long the daemon that was asked may act without another renewal, in milliseconds; zero if it doesn't
	// lead. SinceMs is how long it has led.
	LeftMs  int64 `json:"left_ms"`
	SinceMs int64 `json:"since_ms"`
}

// Usage lists the last windows of usage. Only the daemon that leads the role knows them.
type Usage struct {
	Leads   bool              `json:"leads"`
	Windows []metering.Status `json:"windows"`
}

// Shares lists what customers offer to all daemons and what they usually do, as one daemon knows it, and the requests
// that wait for slots at that daemon.
type Shares struct {
	// Divided is set if scarce slots are divided among customers.
	Divided bool               `json:"divided"`
	Shares  []fairshare.Share  `json:"shares"`
	Waiting []admission.Status `json:"waiting"`
}

// Autoscaling lists what is known of the services whose servers may be ordered. Only the daemon that leads the role plans.
type Autoscaling struct {
	Services []autoscale.Status `json:"services"`
}
