// Package bundle manages the operators' configuration. It defines the schema,
// validates content, lets operators propose, approve and roll versions in the
// store, and distributes the version in force to all daemons.
package bundle

// Bundle is the configuration that one version holds.
type Bundle struct {
	Classes   []Class    `json:"classes"`
	Customers []Customer `json:"customers"`
	Owners    []Owner    `json:"owners"`
	Services  []Service  `json:"services"`
	Pools     []Pool     `json:"pools"`
	Operators []Operator `json:"operators"`
	// RetentionHours is how long responses to non-repeatable calls are kept.
	RetentionHours int `json:"retention_hours"`
}

// OnMiss is the action for a request that is going to miss its latency target.
type OnMiss string

// Values of OnMiss.
const (
	OnMissRefuse    OnMiss = "refuse"
	OnMissServeLate OnMiss = "serve_late"
)

// MaxTiers is the number of service tiers. Tier 0 has the highest priority.
const MaxTiers = 8

// Class is a service class: a tier with latency targets.
type Class struct {
	Name string `json:"name"`
	Tier int    `json:"tier"`
	// FirstTokenMs is the target for the first token, in milliseconds.
	FirstTokenMs int `json:"first_token_ms"`
	// TokenGapMs is the target between tokens, in milliseconds.
	TokenGapMs int `json:"token_gap_ms"`
	// Promise is the share of requests that must meet the targets, above 0 and
	// below 1.
	Promise float64 `json:"promise"`
	// StarvationMs is the longest time that the class's oldest request may
	// wait, in milliseconds.
	StarvationMs int    `json:"starvation_ms"`
	OnMiss       OnMiss `json:"on_miss"`
	// RetryBudget is the number of retries allowed per first attempt, 0 to 1.
	RetryBudget float64 `json:"retry_budget"`
}

// Customer is an organisation or team whose callers send requests.
type Customer struct {
	Name string `json:"name"`
	// TokenDigests are the SHA-256 digests of its bearer tokens, in hex.
	TokenDigests []string `json:"token_digests"`
	// Weight is the customer's share within its tier, relative to the weights of
	// the other customers.
	Weight float64 `json:"weight"`
	// Owner names the owner whose servers this customer's traffic may claim
	// back; empty for none.
	Owner string `json:"owner"`
	// Classes lists the classes the customer may use; the first is the default.
	Classes []string `json:"classes"`
}

// Owner is a party that pays for backend servers.
type Owner struct {
	Name string `json:"name"`
	// Servers lists host name patterns in the syntax of path.Match.
	Servers []string `json:"servers"`
	// Share is the fraction of the slots of its servers that the owner's own
	// traffic may claim back, 0 to 1.
	Share float64 `json:"share"`
}

// ServiceKind is the protocol by which a service is called.
type ServiceKind string

// Values of ServiceKind. An engine serves models, a plain service has none.
const (
	EngineService ServiceKind = "engine"
	PlainService  ServiceKind = "plain"
)

// Service is a type of backend server.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	// Repeatable is false if a call must run at most once.
	Repeatable bool `json:"repeatable"`
	// SafeMethods lists the HTTP methods that may be repeated even if
	// Repeatable is false.
	SafeMethods []string `json:"safe_methods"`
	// RejectsDuplicates is true if the servers themselves reject a repeated
	// Idempotency-Key or an outdated fencing number.
	RejectsDuplicates bool `json:"checks_order"`
}

// Pool is a set of interchangeable backend servers of one service.
type Pool struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Models lists the models served; it is empty for plain services.
	Models []string `json:"models"`
	// Servers lists host name patterns; empty means all servers of the
	// service.
	Servers []string `json:"servers"`
	// Slots is the initial number of concurrent requests per server.
	Slots int `json:"slots"`
	// MaxSlots is the upper limit of the adaptive number of slots per server.
	MaxSlots int `json:"max_slots"`
}

// Operator may propose, approve and roll versions.
type Operator struct {
	Name         string   `json:"name"`
	TokenDigests []string `json:"token_digests"`
}
