// Package settings reads and checks a daemon's settings file, which is JSON with
// comments.
package settings

// Settings is the configuration of one daemon.
type Settings struct {
	// Name is the daemon's host name, unique in the system.
	Name   string `json:"name"`
	Region string `json:"region"`
	// Domain is the failure domain of the host.
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

// Listen holds the addresses that the daemon listens on, each an IP address and
// a port.
type Listen struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Advertise holds the addresses that others use to reach the daemon. An empty
// one means that they use the address of Listen.
type Advertise struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

// Platform configures access to the platform's store and host list.
type Platform struct {
	// URL is the base address of the platform's store and host list.
	URL string `json:"url"`
	// TimeoutMs is the timeout of one call to the platform, in milliseconds.
	TimeoutMs int `json:"timeout_ms"`
	// DaemonService is the service name of the entry hosts in the host list.
	DaemonService string `json:"daemon_service"`
}

// Peers configures the links between daemons.
type Peers struct {
	// Keys holds the shared keys in hexadecimal. The first signs; all of them
	// verify.
	Keys []string `json:"keys"`
	// KeysEnv names an environment variable with comma-separated keys, used
	// instead of Keys.
	KeysEnv string `json:"keys_env"`
	Seeds   []Seed `json:"seeds"`
}

// Seed is a daemon that this one can contact before it has learned the members
// from its peers or from the host list.
type Seed struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// Callers limits what callers may send and configures the entry directory that
// they query.
type Callers struct {
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxHeaderBytes limits the size of a request's headers.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// ReadTimeoutMs is the timeout for reading one request, in milliseconds.
	ReadTimeoutMs int `json:"read_timeout_ms"`
	// EntryTTLMs is how long a caller may cache a response of the entry
	// directory, in milliseconds.
	EntryTTLMs int `json:"entry_ttl_ms"`
	// EntryCount is the number of addresses in a response of the entry
	// directory.
	EntryCount int `json:"entry_count"`
}

// Routing configures reservations and dispatch.
type Routing struct {
	// Reservations is the number of schedulers asked for each request.
	Reservations int `json:"reservations"`
	// GrantMs is how long a granted slot stays reserved for the gateway before
	// the grant expires, in milliseconds.
	GrantMs int `json:"grant_ms"`
	// QueueLimit limits the number of reservations that a scheduler queues for one
	// pool.
	QueueLimit int `json:"queue_limit"`
	// SilenceMs is the longest time that a call to a backend server may make no
	// progress, in milliseconds. Streams have shorter timeouts, which are derived
	// from observed waits.
	SilenceMs int `json:"silence_ms"`
}

// Stop configures the planned stop.
type Stop struct {
	// TimeoutMs limits how long a planned stop may take, in milliseconds. Zero
	// means that it waits for every request in flight.
	TimeoutMs int `json:"bound_ms"`
}

// Telemetry configures logs, metrics and traces.
type Telemetry struct {
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// LogFormat is text, logfmt or json.
	LogFormat string `json:"log_format"`
	// OTLPURL is the endpoint for spans as OTLP over HTTP. If it is empty, no
	// spans are sent.
	OTLPURL string `json:"otlp_url"`
	// SpanFile is the path of a file to which spans are appended as JSON lines,
	// or "-" for standard error. If it is empty, no spans are written.
	SpanFile string `json:"span_file"`
	// SampleRatio is the fraction of requests without a trace context of their
	// own that are traced, from 0 to 1.
	SampleRatio float64 `json:"sample_ratio"`
}
