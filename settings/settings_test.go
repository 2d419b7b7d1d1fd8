package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// minimal sets only the fields that have no default.
const minimal = `{
	"name": "entry-1", "region": "utara", "domain": "prai",
	"listen": {"callers": "10.0.0.1:80", "peers": "10.0.0.1:81", "operators": "10.0.0.1:82"},
	"platform": {"url": "http://10.0.0.9:90"},
	"peers": {"keys": ["00112233445566778899aabbccddeeff"]},
}`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("s.jsonc", []byte(minimal))
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "entry-1")
	assert.DeepEqual(t, s.Platform, Platform{
		URL: "http://10.0.0.9:90", TimeoutMs: 1000, DaemonService: "jacinththread",
	})
	assert.DeepEqual(t, s.Callers, Callers{
		MaxBodyBytes: 4 << 20, MaxHeaderBytes: 16 << 10, ReadTimeoutMs: 10_000,
		EntryTTLMs: 5000, EntryCount: 3,
	})
	assert.DeepEqual(t, s.Routing, Routing{
		Reservations: 3, GrantMs: 2000, QueueLimit: 20_000, SilenceMs: 10_000,
	})
}

func TestParseReportsAllFindings(t *testing.T) {
	_, err := Parse("s.jsonc", []byte(`{
  "name": "Entry 1", "region": "", "domian": "prai",
  "listen": {
    "callers": "0.0.0.0:80", "peers": "10.0.0.1:80",
    "operators": "localhost:82",
  },
  "advertise": {"peers": "10.0.0.1:0"},
  "platform": {"url": "10.0.0.9:90", "timeout_ms": "1s"},
  "peers": {
    "keys": ["0011", "xyz", "0011"], "keys_env": "KEYS",
    "seeds": [
      {"name": "a", "addr": "10.0.0.2:81"},
      {"name": "a", "addr": "10.0.0.2:81"},
      {"name": "b"},
    ],
  },
  "callers": {"entry_ttl_ms": 5000, "entry_count": 0},
  "routing": {"reservations": 9, "reservations": 3, "silence_ms": 1.5},
  "stop": {"bound_ms": 4000},
  "telemetry": {"log_level": "loud", "otlp_url": "ftp://x", "sample_ratio": 2},
}`))
	assert.Error(t, err, strings.TrimSpace(`
s.jsonc:1:1: domain: value is required
s.jsonc:2:11: name: name "Entry 1" has characters other than a-z, 0-9, '-' and '.' or ends in one of the last two
s.jsonc:2:32: region: value is required
s.jsonc:2:36: domian: unknown field
s.jsonc:4:39: listen.peers: 10.0.0.1:80 is in use by listen.callers
s.jsonc:5:18: listen.operators: "localhost:82" is not an IP address and port
s.jsonc:7:16: advertise.callers: value is required because listen.callers (0.0.0.0:80) is no address that others can use
s.jsonc:7:26: advertise.peers: 10.0.0.1:0 has no port
s.jsonc:8:23: platform.url: "10.0.0.9:90" is not a URL
s.jsonc:8:52: platform.timeout_ms: number expected, string found
s.jsonc:10:14: peers.keys[0]: key has 2 bytes, at least 16 are required
s.jsonc:10:22: peers.keys[1]: key is not in hex
s.jsonc:10:29: peers.keys[2]: key has 2 bytes, at least 16 are required
s.jsonc:10:29: peers.keys[2]: key is given twice
s.jsonc:10:50: peers.keys_env: keys and keys_env are both set
s.jsonc:13:16: peers.seeds[1].name: "a" is given twice, first in peers.seeds[0]
s.jsonc:13:29: peers.seeds[1].addr: "10.0.0.2:81" is given twice, first in peers.seeds[0]
s.jsonc:14:7: peers.seeds[2].addr: value is required
s.jsonc:17:52: callers.entry_count: 0 is not between 1 and 16
s.jsonc:18:34: routing.reservations: field is given twice, first on line 18
s.jsonc:18:67: routing.silence_ms: 1.5 is not a valid int
s.jsonc:19:24: stop.bound_ms: 4000 ends a planned stop before callers.entry_ttl_ms (5000), while callers still use this address
s.jsonc:20:30: telemetry.log_level: "loud" is none of debug, info, warn, error
s.jsonc:20:50: telemetry.otlp_url: URL "ftp://x" does not start with http:// or https://
s.jsonc:20:77: telemetry.sample_ratio: 2 is not between 0 and 1`))
}

func TestSyntaxErrorsDoNotHideOtherFindings(t *testing.T) {
	text := strings.Replace(minimal, `"name": "entry-1"`, `"name": Entry1`, 1)
	text = strings.Replace(text, `"http://10.0.0.9:90"`, `"10.0.0.9", "timeout_ms": 1s`, 1)
	_, err := Parse("s", []byte(text))
	assert.Error(t, err, strings.TrimSpace(`
s:2:10: name: syntax error: invalid literal: Entry1
s:4:22: platform.url: URL "10.0.0.9" does not start with http:// or https://
s:4:48: platform.timeout_ms: syntax error: invalid literal: 1s`))
}

// A port that the operating system chooses is unknown to others, so it is only
// valid together with an advertised address.
func TestChosenPortsNeedAnAdvertisedAddress(t *testing.T) {
	text := `{
  "name": "entry-1", "region": "utara", "domain": "prai",
  "listen": {"callers": "10.0.0.1:0", "peers": "10.0.0.1:0", "operators": "10.0.0.1:0"},
  "advertise": {"peers": "10.0.0.1:81"},
  "platform": {"url": "http://10.0.0.9:90"},
  "peers": {"keys": ["00112233445566778899aabbccddeeff"]},
}`
	_, err := Parse("s", []byte(text))
	assert.Error(t, err, "s:4:16: advertise.callers: value is required because listen.callers (10.0.0.1:0) is no address that others can use")
}

func TestParseChecksEveryBound(t *testing.T) {
	for _, b := range bounds {
		group, field, _ := strings.Cut(b.field, ".")
		for value, ok := range map[int]bool{b.min - 1: false, b.min: true, b.max: true, b.max + 1: false} {
			extra, err := json.Marshal(map[string]map[string]int{group: {field: value}})
			assert.NilError(t, err)
			text := strings.Replace(minimal, `"platform": {`, `"platform": {`+platformExtra(group, field, value), 1)
			if group != "platform" {
				text = strings.TrimSuffix(text, "}") + string(extra[1:])
			}
			_, err = Parse("s", []byte(text))
			reported := err != nil && strings.Contains(err.Error(), b.field+": ") &&
				strings.Contains(err.Error(), "is not between")
			assert.Equal(t, reported, !ok, "%s = %d: %v", b.field, value, err)
		}
	}
}

func platformExtra(group, field string, value int) string {
	if group != "platform" {
		return ""
	}
	extra, _ := json.Marshal(map[string]int{field: value})
	return strings.Trim(string(extra), "{}") + ","
}

func TestSeedsMustAgreeWithOwnAddress(t *testing.T) {
	with := func(seeds string) error {
		text := strings.Replace(minimal, `"peers": {"`, `"peers": {"seeds": [`+seeds+`], "`, 1)
		_, err := Parse("s", []byte(text))
		return err
	}
	assert.NilError(t, with(`{"name": "entry-1", "addr": "10.0.0.1:81"}`))
	assert.ErrorContains(t, with(`{"name": "entry-1", "addr": "10.0.0.2:81"}`), "differs from this daemon's own peer address")
	assert.ErrorContains(t, with(`{"name": "entry-2", "addr": "10.0.0.1:81"}`), "is this daemon's own peer address")
}

func TestSharedKeys(t *testing.T) {
	old, fresh := strings.Repeat("ab", 16), strings.Repeat("cd", 16)
	t.Setenv("TEST_PEER_KEYS", fresh+", "+old)
	keys, err := Peers{KeysEnv: "TEST_PEER_KEYS"}.SharedKeys()
	assert.NilError(t, err)
	assert.Equal(t, len(keys), 2)
	assert.Equal(t, keys[0][0], byte(0xcd))
	_, err = Peers{KeysEnv: "TEST_PEER_KEYS_UNSET"}.SharedKeys()
	assert.ErrorContains(t, err, "TEST_PEER_KEYS_UNSET holds no peer keys")
	_, err = Peers{Keys: []string{"secret"}}.SharedKeys()
	assert.Error(t, err, "peer key 1: key is not in hex")
	_, err = Peers{}.SharedKeys()
	assert.ErrorContains(t, err, "no peer keys")
}

func TestLoadReportsMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.jsonc"))
	assert.ErrorContains(t, err, "none.jsonc")
}

// Every input results in either settings or findings with a position in the
// file. Accepted settings are accepted again after they have been encoded.
func TestParseArbitraryInput(t *testing.T) {
	example, err := os.ReadFile("../examples/utility/entry-prai-1.jsonc")
	assert.NilError(t, err)
	tokens := []string{"", "{", "}", "[", "]", ",", ":", `"`, `"name"`, "null", "-1", "1e99", "/*", "//",
		"\n", `"10.0.0.1:80"`, `"[::]:0"`, "é", "\x00", "\xff"}
	rapid.Check(t, func(r *rapid.T) {
		data := string(example)
		for range rapid.IntRange(0, 4).Draw(r, "edits") {
			at := rapid.IntRange(0, len(data)).Draw(r, "at")
			cut := rapid.IntRange(at, min(at+20, len(data))).Draw(r, "cut")
			data = data[:at] + rapid.SampledFrom(tokens).Draw(r, "token") + data[cut:]
		}
		s, err := Parse("s", []byte(data))
		if (s == nil) == (err == nil) {
			r.Fatalf("settings %v and error %v", s, err)
		}
		if err != nil {
			if !strings.HasPrefix(err.Error(), "s:") {
				r.Fatalf("finding without position: %v", err)
			}
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			r.Fatal(err)
		}
		if _, err := Parse("s", again); err != nil {
			r.Fatalf("accepted settings are rejected after encoding: %v", err)
		}
	})
}
