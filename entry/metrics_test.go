package entry

import (
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/kernel"
	"github.com/jacinththread/jacinththread/metering"
)

// newTestDaemon returns a daemon on free loopback ports that has not been started.
func newTestDaemon(t *testing.T, registry metrics.Registry) *Daemon {
	t.Helper()
	s := &Settings{
		Name: "d", Domain: "a", Region: "r", Callers: "127.0.0.1:0", Ready: "127.0.0.1:0", Peers: "127.0.0.1:0",
		Directory: "127.0.0.1:0", Descriptors: 4000, MemoryBytes: 1 << 28, Grace: time.Second,
		LeaderLease: time.Second, Usage: metering.Windows{Length: time.Second, Due: time.Second}, Autoscaling: true, SharedCapacity: true,
	}
	s.Budget.Window = 10 * time.Second
	return New(s, Adapter{DirectoryPath: "/d", ReadyPath: "/r"}, Instruments{Log: log.New(io.Discard), Metrics: registry})
}

// metricRow matches a table row that documents a metric and captures its name.
var metricRow = regexp.MustCompile("(?m)^\\| `([a-z._]+)` \\|")

func TestMetricsPageListsTheMetricsOfTheEntryDaemon(t *testing.T) {
	registry := metrics.NewRegistry()
	_, err := kernel.New(log.New(io.Discard), newTestDaemon(t, registry).Modules()...)
	assert.NilError(t, err)
	page, err := os.ReadFile("../docs/operations/metrics-entry.md")
	assert.NilError(t, err)
	general, err := os.ReadFile("../docs/operations/metrics.md")
	assert.NilError(t, err)
	documented := map[string]bool{}
	for _, row := range metricRow.FindAllStringSubmatch(string(page), -1) {
		documented[row[1]] = true
	}
	registered := registry.GetAll()
	for name := range registered {
		// Metrics of membership and peer connections are the same for both kinds of
		// daemon and are documented on the general page.
		shared := strings.HasPrefix(name, "membership.") || strings.HasPrefix(name, "peer.")
		assert.Check(t, documented[name] || shared && strings.Contains(string(general), "`"+name), "metric %s is not documented", name)
	}
	for name := range documented {
		adapters := strings.HasPrefix(name, "platform.") || strings.HasPrefix(name, "telemetry.")
		assert.Check(t, adapters || registered[name] != nil, "metric %s is documented but not registered", name)
	}
}
