package settings

import (
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/jsonc"
)

// maxNameLength limits the names of hosts, regions and failure domains, in
// bytes.
const maxNameLength = 63

var (
	validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	validEnv  = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)
)

// checker validates decoded settings and collects findings.
type checker struct {
	settings *Settings
	doc      *jsonc.Document
	findings finding.List
}

func (c *checker) report(field, format string, args ...any) {
	c.findings = append(c.findings, c.doc.Finding(field, format, args...))
}

// checkAll runs all checks on the settings.
func (c *checker) checkAll() {
	s := c.settings
	c.name("name", s.Name)
	c.name("region", s.Region)
	c.name("domain", s.Domain)
	c.addresses()
	c.url("platform.url", s.Platform.URL, true)
	c.name("platform.daemon_service", s.Platform.DaemonService)
	c.keys()
	c.seeds()
	c.bounds()
	c.stop()
	c.telemetry()
}

func (c *checker) name(field, value string) {
	switch {
	case value == "":
		c.report(field, "value is required")
	case len(value) > maxNameLength:
		c.report(field, "name is longer than %d characters", maxNameLength)
	case !validName.MatchString(value):
		c.report(field, "name %q has characters other than a-z, 0-9, '-' and '.' or ends in one of the last two", value)
	}
}

func (c *checker) url(field, value string, required bool) {
	if value == "" {
		if required {
			c.report(field, "value is required")
		}
		return
	}
	u, err := url.Parse(value)
	switch {
	case err != nil:
		c.report(field, "%q is not a URL", value)
	case u.Scheme != "http" && u.Scheme != "https":
		c.report(field, "URL %q does not start with http:// or https://", value)
	case u.Hostname() == "":
		c.report(field, "URL %q has no host", value)
	case u.User != nil:
		c.report(field, "URL must not contain a user name")
	case u.RawQuery != "" || u.Fragment != "":
		c.report(field, "URL %q has a query or a fragment", value)
	}
}

// bounds checks the ranges of the integer fields.
func (c *checker) bounds() {
	for _, b := range bounds {
		if v := b.value(c.settings); v < b.min || v > b.max {
			c.report(b.field, "%d is not between %d and %d", v, b.min, b.max)
		}
	}
}

// stop checks that the time limit of a planned stop, if there is one, is at
// least the time for which callers may cache this daemon's address.
func (c *checker) stop() {
	timeout, ttl := c.settings.Stop.TimeoutMs, c.settings.Callers.EntryTTLMs
	if timeout > 0 && timeout < ttl {
		c.report("stop.bound_ms", "%d ends a planned stop before callers.entry_ttl_ms (%d), while callers still use this address", timeout, ttl)
	}
}

func (c *checker) telemetry() {
	t := c.settings.Telemetry
	c.oneOf("telemetry.log_level", t.LogLevel, logLevels)
	c.oneOf("telemetry.log_format", t.LogFormat, logFormats)
	c.url("telemetry.otlp_url", t.OTLPURL, false)
	if t.SampleRatio < 0 || t.SampleRatio > 1 {
		c.report("telemetry.sample_ratio", "%g is not between 0 and 1", t.SampleRatio)
	}
}

func (c *checker) oneOf(field, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		c.report(field, "%q is none of %s", value, strings.Join(allowed, ", "))
	}
}

// keys checks the shared keys of the peer links. Its findings never contain a
// key.
func (c *checker) keys() {
	p := c.settings.Peers
	if p.KeysEnv != "" && !validEnv.MatchString(p.KeysEnv) {
		c.report("peers.keys_env", "%q is not a valid name of an environment variable", p.KeysEnv)
	}
	switch {
	case len(p.Keys) == 0 && p.KeysEnv == "":
		c.report("peers", "one of keys and keys_env is required")
	case len(p.Keys) > 0 && p.KeysEnv != "":
		c.report("peers.keys_env", "keys and keys_env are both set")
	case len(p.Keys) > maxKeys:
		c.report("peers.keys", "%d keys are given, at most %d are in use at once", len(p.Keys), maxKeys)
	}
	for i, text := range p.Keys {
		field := fmt.Sprintf("peers.keys[%d]", i)
		if _, err := parseKey(text); err != nil {
			c.report(field, "%v", err)
		}
		if slices.Contains(p.Keys[:i], text) {
			c.report(field, "key is given twice")
		}
	}
}
