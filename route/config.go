// Package route decides which service a request goes to and which customer
// sent it. A Table is immutable, so requests read it without a lock.
package route

import "time"

// Version orders configurations. A higher one replaces a lower one.
type Version int64

// Kind tells what may be repeated for a request.
type Kind uint8

// Kinds of route.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Streaming requests are answered with events and run at most once, unless
	// their route lets a stream be resumed.
	Streaming
)

// String names the kind in logs.
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

// Share is a part of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request is kept waiting; zero means no bound.
	Timeout time.Duration
	// Target is the objective for the answer, or for the first event of a stream.
	Target time.Duration
	// GapTarget is the objective for the pause between two events of a stream.
	GapTarget time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Shares has at least one entry.
	Shares []Share
	// MaxAttempts is the number of servers that may run one request, at least 1.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// PromptAffinity is set where requests list the parts of their prompts.
	PromptAffinity bool
	// Resumable streams may go on at another server.
	Resumable bool
}

// Repeatable reports whether a request may run again after it may have run.
// Streams go on from the last delivered event.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns is the number of connections a server accepts from all daemons.
	MaxConns int
	// Engine is nil for services that run no model.
	Engine *Engine
}

// Engine describes the model servers of a service.
type Engine struct {
	// MemoryTokens is shared by running requests and cached prompt parts.
	MemoryTokens int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Customer is a sender of requests.
type Customer struct {
	Name string
	Keys []string
	// Priority replaces the route's priority if it is not nil.
	Priority *int
}

// Config is one version of the configuration.
type Config struct {
	Version   Version
	Routes    []Route
	Services  []Service
	Limits    Limits
	Customers []Customer
}
