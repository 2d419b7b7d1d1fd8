package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/internal/standin/engine"
	"github.com/jacinththread/jacinththread/store"
)

// counter returns the current value of the counter called name.
func (td *testDaemon) counter(d *deployment, name string) int64 {
	d.t.Helper()
	count, ok := td.metrics(d)[name]["count"].(float64)
	assert.Assert(d.t, ok, "%s is not a counter", name)
	return int64(count)
}

// Each fault in the last table of docs/operations/backend-servers.md moves the
// metrics and writes the log message that the table lists, while callers still
// get complete responses.
func TestServerFaultsChangeTheDocumentedMetrics(t *testing.T) {
	t.Parallel()
	const cutAt = 2
	for _, c := range []struct {
		name   string
		faults engine.Faults
		moved  []string
		logged string
	}{
		{"leaving", engine.Faults{Draining: true}, []string{"gateway.retried"}, "backend server announced that it is leaving"},
		{"silent", engine.Faults{HangAfter: cutAt}, []string{"dispatch.silent", "gateway.resumed"}, ""},
		{"crash", engine.Faults{CutAfter: cutAt}, []string{"dispatch.broken", "gateway.resumed"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t)
			s := d.newSettings("entry-1")
			s.Routing.SilenceMs = 500
			daemon := d.startDaemon(s)
			d.rollFirstBundle()
			d.engines[0].SetFaults(c.faults)
			for n := 0; daemon.counter(d, c.moved[0]) == 0; n++ {
				assert.Assert(t, n < 100, "%s is still zero after 100 requests", c.moved[0])
				prompt := fmt.Sprintf("question %d", n)
				assert.Equal(t, daemon.chat(d, prompt, 5), wantText(prompt, 5))
			}
			for _, name := range c.moved {
				d.wait(name, func() bool { return daemon.counter(d, name) > 0 })
			}
			assert.Assert(t, strings.Contains(d.logs.String(), c.logged))
			if c.faults.Draining {
				d.wait("leaving", func() bool { return daemon.gauges(d, "membership.servers.leaving")[0] == 1 })
				before := daemon.counter(d, "gateway.retried")
				daemon.chat(d, "after", 3)
				assert.Equal(t, daemon.counter(d, "gateway.retried"), before, "a leaving server gets no new work")
			}
		})
	}
}

func TestLeavingOrRemovedServerGetsNoRequests(t *testing.T) {
	d := newDeployment(t)
	d.start(1)
	d.rollFirstBundle()
	daemon := d.daemons[0]
	d.hosts[0].State = store.HostLeaving
	d.platform.SetHosts(d.hosts)
	d.wait("leaving", func() bool { return daemon.gauges(d, "membership.servers.leaving")[0] == 1 })
	ran := len(d.engines[0].Runs())
	for n := range 10 {
		daemon.chat(d, fmt.Sprint(n), 2)
	}
	assert.Equal(t, len(d.engines[0].Runs()), ran)
	d.hosts = d.hosts[2:] // Both engines.
	d.platform.SetHosts(d.hosts)
	d.wait("gone", func() bool { return daemon.gauges(d, "membership.servers.live")[0] == 1 })
	assert.Assert(t, strings.Contains(d.logs.String(), "backend server is no longer in the host list"))
	res, err := daemon.post(d, chatPath, chatBody("nobody", 1))
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, res.Header.Get("Jacinththread-Run"), "not-run")
	assert.Assert(t, res.Header.Get("Retry-After") != "")
}
