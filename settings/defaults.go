package settings

// Sizes in bytes.
const (
	kib = 1 << 10
	mib = 1 << 20
)

// Durations in milliseconds.
const (
	secondMs = 1000
	minuteMs = 60 * secondMs
	dayMs    = 24 * 60 * minuteMs
)

// Allowed log levels and formats.
var (
	logLevels  = []string{"debug", "info", "warn", "error"}
	logFormats = []string{"text", "logfmt", "json"}
)

// Defaults returns the values of fields that a settings file does not set.
func Defaults() *Settings {
	return &Settings{
		Platform: Platform{TimeoutMs: secondMs, DaemonService: "jacinththread"},
		Callers: Callers{
			MaxBodyBytes:   4 * mib,
			MaxHeaderBytes: 16 * kib,
			ReadTimeoutMs:  10 * secondMs,
			EntryTTLMs:     5 * secondMs,
			EntryCount:     3,
		},
		Routing: Routing{
			Reservations: 3,
			GrantMs:      2 * secondMs,
			QueueLimit:   20_000,
			SilenceMs:    10 * secondMs,
		},
		Telemetry: Telemetry{LogLevel: "info", LogFormat: "text", SampleRatio: 1},
	}
}

// bound is the allowed range of an integer field. Both ends are included.
type bound struct {
	field    string
	min, max int
	value    func(*Settings) int
}

// bounds lists the allowed ranges of all integer fields.
var bounds = []bound{
	{"platform.timeout_ms", 10, minuteMs, func(s *Settings) int { return s.Platform.TimeoutMs }},
	{"callers.max_body_bytes", kib, 64 * mib, func(s *Settings) int { return s.Callers.MaxBodyBytes }},
	{"callers.max_header_bytes", kib, mib, func(s *Settings) int { return s.Callers.MaxHeaderBytes }},
	{"callers.read_timeout_ms", 100, 10 * minuteMs, func(s *Settings) int { return s.Callers.ReadTimeoutMs }},
	{"callers.entry_ttl_ms", 500, 10 * minuteMs, func(s *Settings) int { return s.Callers.EntryTTLMs }},
	{"callers.entry_count", 1, 16, func(s *Settings) int { return s.Callers.EntryCount }},
	{"routing.reservations", 2, 8, func(s *Settings) int { return s.Routing.Reservations }},
	{"routing.grant_ms", 100, 30 * secondMs, func(s *Settings) int { return s.Routing.GrantMs }},
	{"routing.queue_limit", 1, 1_000_000, func(s *Settings) int { return s.Routing.QueueLimit }},
	{"routing.silence_ms", 500, 10 * minuteMs, func(s *Settings) int { return s.Routing.SilenceMs }},
	{"stop.bound_ms", 0, dayMs, func(s *Settings) int { return s.Stop.TimeoutMs }},
}
