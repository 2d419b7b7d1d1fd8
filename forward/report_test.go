package forward

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/internal/logtest"
	"github.com/jacinththread/jacinththread/report"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/settings"
	"github.com/jacinththread/jacinththread/telemetry"
)

// TestReportParsesRequestLog checks that package report classifies a request by
// its log line in the same way as the caller experienced it.
func TestReportParsesRequestLog(t *testing.T) {
	slow := func(d *deployment, c net.Conn, r *bufio.Reader, req run) bool {
		time.Sleep(60 * time.Millisecond)
		return serves(d, c, r, req)
	}
	for name, test := range map[string]struct {
		behavior serverBehavior
		result   report.Result
	}{
		"served":          {serves, report.InTime},
		"late":            {slow, report.LateFirst},
		"refused":         {refuses, report.Refused},
		"reset":           {resets, report.Unknown},
		"failed":          {respondsWith("HTTP/1.1 500 Internal Server Error\r\nId: $ID\r\nContent-Length: 0\r\n\r\n"), report.ServerError},
		"broken":          {respondsWith("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: x\r\nContent-Type: text/event-stream\r\nContent-Length: 99\r\n\r\nid: 1\n\n"), report.BrokenOff},
		"unknown is kept": {respondsWith("HTTP/1.1 503 Service Unavailable\r\nId: $ID\r\nContent-Length: 0\r\n\r\n"), report.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, route.Route{Name: "r", Prefix: "/", Kind: route.NonIdempotent, Target: 50 * time.Millisecond})
			out := &logtest.Buffer{}
			logger, err := telemetry.NewLogger(out, settings.Telemetry{LogLevel: "info", LogFormat: "json"}, "entry-1")
			assert.NilError(t, err)
			d.log = logger
			d.addServer("a", test.behavior)
			d.start()
			d.send("POST", "/", "one")
			d.ingress.Stop(t.Context())
			for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
				if strings.Contains(out.String(), "request done") {
					break
				}
			}
			var logs report.Logs
			assert.NilError(t, logs.Read(strings.NewReader(out.String())))
			assert.Equal(t, len(logs.Requests), 1)
			got := logs.Requests[0]
			assert.Equal(t, got.Result(), test.result, "%+v", got)
			assert.Equal(t, got.ID, "one")
			assert.Equal(t, got.Host, "entry-1")
			assert.Equal(t, got.Route, "r")
			assert.Equal(t, got.TargetMs, int64(50))
		})
	}
}
