// Package bundle holds the operators' configuration: its schema, its checks,
// how a version is proposed, approved and rolled, and which is in force.
package bundle

// Bundle is the content of one version.
type Bundle struct {
	Classes   []Class    `json:"classes"`
	Customers []Customer `json:"customers"`
	Owners    []Owner    `json:"owners"`
	Services  []Service  `json:"services"`
	Pools     []Pool     `json:"pools"`
	Operators []Operator `json:"operators"`
	// RetentionHours is how long answers of calls that may not be repeated are
	// kept, in hours.
	RetentionHours int `json:"retention_hours"`
}

// OnMiss tells what happens to a request that will miss its target.
type OnMiss string

// Values of OnMiss.
const (
	Refuse    OnMiss = "refuse"
	ServeLate OnMiss = "serve_late"
)

// MaxTiers is the number of service tiers. Tier 0 is the highest.
const MaxTiers = 8

// Class is a service class.
type Class struct {
	Name string `json:"name"`
	Tier int    `json:"tier"`
	// FirstTokenMs is the target for the first token, in milliseconds.
	FirstTokenMs int `json:"first_token_ms"`
	// TokenGapMs is the target between tokens, in milliseconds.
	TokenGapMs int `json:"token_gap_ms"`
	// Promise is the share of requests that meet the targets, 0 to 1.
	Promise float64 `json:"promise"`
	// StarvationMs bounds the wait of the class's oldest request, in
	// milliseconds.
	StarvationMs int    `json:"starvation_ms"`
	OnMiss       OnMiss `json:"on_miss"`
	// RetryBudget is the number of retries per first try, 0 to 1.
	RetryBudget float64 `json:"retry_budget"`
}

// Customer is a caller's organisation or team.
type Customer struct {
	Name string `json:"name"`
	// TokenDigests are SHA-256 digests of bearer tokens, in hex.
	TokenDigests []string `json:"token_digests"`
	// Weight is the customer's share within its tier, relative to others.
	Weight float64 `json:"weight"`
	// Owner names the owner whose servers this customer's traffic may claim.
	Owner string `json:"owner"`
	// Classes lists the classes the customer may use; the first is the default.
	Classes []string `json:"classes"`
}

// Owner pays for backend servers.
type Owner struct {
	Name string `json:"name"`
	// Servers are patterns of host names, as in path.Match.
	Servers []string `json:"servers"`
	// Share is the part of its servers' slots that the owner's own traffic may
	// claim back, 0 to 1.
	Share float64 `json:"share"`
}

// ServiceKind tells how a service is called.
type ServiceKind string

// Kinds of services.
const (
	Engine ServiceKind = "engine"
	Plain  ServiceKind = "plain"
)

// Service is a kind of backend server.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Repeatable is false for calls that run at most once.
	Repeatable bool `json:"repeatable"`
	// SafeMethods lists the HTTP methods that may be repeated although the
	// service's other calls may not.
	SafeMethods []string `json:"safe_methods"`
	// ChecksOrder is true if the servers themselves refuse a repeated
	// Idempotency-Key or an old fencing number.
	ChecksOrder bool `json:"checks_order"`
}

// Pool is a set of interchangeable backend servers of one service.
type Pool struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Models lists the models served; empty for plain services.
	Models []string `json:"models"`
	// Servers are patterns of host names; empty means all of the service.
	Servers []string `json:"servers"`
	// Slots is the initial number of concurrent requests per server.
	Slots int `json:"slots"`
	// MaxSlots bounds the adaptive number of slots per server.
	MaxSlots int `json:"max_slots"`
}

// Operator may propose, approve and roll versions.
type Operator struct {
	Name         string   `json:"name"`
	TokenDigests []string `json:"token_digests"`
}
