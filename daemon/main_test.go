package daemon

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// writeSettings writes a settings file with the given callers' address and
// peers section, and returns its path.
func writeSettings(t *testing.T, callers, peers string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry-1.jsonc")
	text := fmt.Sprintf(`{
  "name": "entry-1", "region": "utara", "domain": "prai",
  "listen": {"callers": %q, "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
  "advertise": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2"},
  "platform": {"url": "http://127.0.0.1:1", "timeout_ms": 10},
  "peers": %s,
}`, callers, peers)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

const keysSection = `{"keys": ["` + testKey + `"]}`

func TestMainExitCodes(t *testing.T) {
	t.Setenv("TEST_NO_KEYS", "")
	good := writeSettings(t, "127.0.0.1:0", keysSection)
	bad := writeSettings(t, "localhost:1", `{}`)
	noKeys := writeSettings(t, "127.0.0.1:0", `{"keys_env": "TEST_NO_KEYS"}`)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	portTaken := writeSettings(t, taken.Addr().String(), keysSection)
	missing := filepath.Join(t.TempDir(), "none.jsonc")
	cases := []struct {
		name           string
		args           []string
		code           int
		stdout, stderr []string
	}{
		{"valid file", []string{"--check-config", "-s", good}, exitOK, []string{good + " is valid"}, nil},
		{"findings", []string{"--check-config", "-s", bad}, exitSettings, nil, []string{
			`entry-1.jsonc:3:25: listen.callers: "localhost:1" is not an IP address and port`,
			"peers: one of keys and keys_env is required",
		}},
		{"missing file", []string{"--check-config", "-s", missing}, exitSettings, nil, []string{"none.jsonc"}},
		{"no settings option", nil, exitUsage, nil, []string{"settings"}},
		{"unknown option", []string{"--nothing"}, exitUsage, nil, []string{"nothing"}},
		{"help", []string{"--help"}, exitOK, []string{"--check-config"}, nil},
		{"keys missing at the start", []string{"-s", noKeys}, exitFailed, nil, []string{
			"environment variable TEST_NO_KEYS holds no peer keys",
		}},
		{"port in use", []string{"-s", portTaken}, exitFailed, nil, []string{
			"callers.http", taken.Addr().String(),
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			assert.Equal(t, Main(c.args, &stdout, &stderr), c.code, stderr.String())
			for _, want := range c.stdout {
				assert.Assert(t, strings.Contains(stdout.String(), want), stdout.String())
			}
			for _, want := range c.stderr {
				assert.Assert(t, strings.Contains(stderr.String(), want), stderr.String())
			}
		})
	}
}
