// Package settings reads a daemon's settings file: JSON with comments.
package settings

// Settings is the configuration of one daemon.
type Settings struct {
	// Name is the daemon's host name, unique in the system.
	Name   string `json:"name"`
	Region string `json:"region"`
	Domain string `json:"domain"`

	Listen    Listen    `json:"listen"`
	Advertise Advertise `json:"advertise"`
	Platform  Platform  `json:"platform"`
	Peers     Peers     `json:"peers"`
	Callers   Callers   `json:"callers"`
	Routing   Routing   `json:"routing"`
	Stop      Stop      `json:"stop"`
	Telemetry Telemetry `json:"telemetry"`
}

// Listen holds the addresses the daemon binds, as host:port.
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Advertise holds the addresses others use; empty means the bound address.
type Advertise struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

// Platform is where the platform's services are.
type Platform struct {
	// URL is the base address of the platform's store and host list.
	URL string `json:"url"`
	// TimeoutMs bounds one call, in milliseconds.
	TimeoutMs int `json:"timeout_ms"`
	// DaemonService is the service name of the entry hosts in the host list.
	DaemonService string `json:"daemon_service"`
}

// Peers configures the links between daemons.
type Peers struct {
	// Keys are the shared keys in hex; the first signs, all verify.
	Keys []string `json:"keys"`
	// KeysEnv names an environment variable with comma-separated keys, used
	// instead of Keys.
	KeysEnv string `json:"keys_env"`
	Seeds   []Seed `json:"seeds"`
}

// Seed is a daemon known before the first contact.
type Seed struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// Callers bounds what callers may send and how long they keep addresses.
type Callers struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxHeaderBytes bounds a request's headers.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// ReadTimeoutMs bounds reading one request, in milliseconds.
	ReadTimeoutMs int `json:"read_timeout_ms"`
	// EntryTTLMs is how long a caller may keep an entry answer, in milliseconds.
	EntryTTLMs int `json:"entry_ttl_ms"`
	// EntryCount is the number of addresses in an entry answer.
	EntryCount int `json:"entry_count"`
}

// Routing tunes reservations and dispatch.
type Routing struct {
	// Reservations is the number of schedulers asked for each request.
	Reservations int `json:"reservations"`
	// GrantMs is how long a granted slot waits for its gateway, in milliseconds.
	GrantMs int `json:"grant_ms"`
	// QueueLimit bounds the reservations waiting at one scheduler.
	QueueLimit int `json:"queue_limit"`
	// SilenceMs is the longest wait for progress of a stream, in milliseconds.
	SilenceMs int `json:"silence_ms"`
}

// Stop configures the planned stop.
type Stop struct {
	// BoundMs is the longest a planned stop may take, in milliseconds; zero
	// means it waits for every request.
	BoundMs int `json:"bound_ms"`
}

// Telemetry configures logs, metrics and traces.
type Telemetry struct {
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// LogFormat is text, logfmt or json.
	LogFormat string `json:"log_format"`
	// OTLPURL is the endpoint for OTLP over HTTP; empty exports none.
	OTLPURL string `json:"otlp_url"`
	// SpanFile receives spans as JSON lines; empty writes none.
	SpanFile string `json:"span_file"`
	// SampleRatio is the share of requests traced, 0 to 1.
	SampleRatio float64 `json:"sample_ratio"`
}
