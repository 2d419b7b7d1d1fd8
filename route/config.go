// Package route maps requests to services and API keys to customers. A Table is
// immutable, so requests read it without a lock.
package route

import "time"

// Version orders configurations: a configuration replaces one with a lower
// version.
type Version int64

// Kind states whether a request may run more than once.
type Kind uint8

// Kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Streaming requests have a stream of events as their response. They run at
	// most once, unless the route is resumable.
	Streaming
)

// String returns the name of the kind as used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}

// Share is one service's share of a route's traffic.
type Share struct {
	Service string
	// Weight is the share's weight relative to the other shares of the route.
	Weight int
}

// Route assigns the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the total time of a request; zero means that the route
	// sets no bound.
	Timeout time.Duration
	// Target is the latency objective for the whole response, or for the first
	// event of a stream.
	Target time.Duration
	// GapTarget is the latency objective for the gap between two events of a
	// stream.
	GapTarget time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Shares has at least one entry.
	Shares []Share
	// MaxAttempts is the largest number of servers that may run one request, at
	// least 1.
	MaxAttempts int
	// Anonymous routes accept requests without an API key.
	Anonymous bool
	// PromptAffinity is set if requests list their prompt parts, so that they
	// can be placed on servers that have those parts cached.
	PromptAffinity bool
	// Resumable streams may be continued at another server.
	Resumable bool
}

// Repeatable reports whether a request may be sent again after a server may
// have run it. A resumed stream continues after the last delivered event.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns is the number of connections that each server accepts from all
	// daemons together.
	MaxConns int
	// HealthPath is the URL path of the servers' health checks; empty if it isn't known.
	HealthPath string
	// Engine is nil for services that do not run a language model.
	Engine *Engine
	// Scaling is nil if servers of the service can't be ordered.
	Scaling *Scaling
}

// Scaling tells how servers of a service may be ordered.
type Scaling struct {
	// Min and Max bound the servers in each failure domain.
	Min, Max int
	// Boot is how long a server takes to start.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable server relative to another one; zero if there are none.
	ReclaimablePrice float64
	// Prices are those of a server's second by failure domain.
	Prices map[string]float64
}

// Engine describes the model servers of a service.
type Engine struct {
	// MemoryTokens is the size of a server's memory in tokens, shared by
	// running requests and cached prompt parts.
	MemoryTokens int
}

// Limits bounds the size and timing of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is a sender of requests, identified by its API keys.
type Customer struct {
	Name string
	Keys []string
	// Priority takes precedence over the priority of routes unless it is nil. Among
	// customers of equal priority, that of the route decides.
	Priority *int
}

// Config is one version of the configuration.
type Config struct {
	Version   Version
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer
	// Keyed is set if routes that aren't anonymous require an API key, also if there is no customer who has one. A
	// configuration with customers is always keyed.
	Keyed bool
}
