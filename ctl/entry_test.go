package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/admission"
	"github.com/jacinththread/jacinththread/autoscale"
	"github.com/jacinththread/jacinththread/entry/entryapi"
	"github.com/jacinththread/jacinththread/fairshare"
	"github.com/jacinththread/jacinththread/metering"
)

func TestViewsOfAnEntryDaemon(t *testing.T) {
	views := map[string]any{
		entryapi.LeadersPath: entryapi.Leaders{Leaders: []entryapi.Leader{{Role: "metering", Leader: "entry-1", Addr: "10.0.0.1:1", Token: 7, SinceMs: 900, LeftMs: 1800}}},
		entryapi.UsagePath: entryapi.Usage{Leads: true, Windows: []metering.Status{
			{Window: 12, Requests: 40, Sent: true, Tries: 2}, {Window: 13, Requests: 9, Missing: []string{"entry-2"}, Error: "status 503"},
		}},
		entryapi.AutoscalingPath: entryapi.Autoscaling{Services: []autoscale.Status{{
			Service: "model", Needed: 9, Planned: 10,
			Domains: []autoscale.DomainStatus{{Domain: "a", Kind: "reclaimable", Target: 6, Ordered: 6, Ready: 4, Unavailable: true}},
		}}},
		entryapi.SharesPath: entryapi.Shares{
			Divided: true, Shares: []fairshare.Share{{Service: "model", Urgency: 2, Customer: "c", Offered: 900, Usual: 100, OverShare: true}},
			Waiting: []admission.Status{{Service: "model", Requests: 3, Bytes: 70, IntervalMs: 5, UrgentFirst: []int{0, 1, 2}}},
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(views[r.URL.Path])
	}))
	defer server.Close()
	for command, want := range map[string][]string{
		"leaders":     {"ROLE LEADER ADDRESS TOKEN LEADS FOR MS LEFT MS", "metering entry-1 10.0.0.1:1 7 900 1800"},
		"usage":       {"WINDOW REQUESTS SENT TRIES DAEMONS MISSING ERROR", "12 40 true 2 0 -", "13 9 false 0 1 status 503"},
		"autoscaling": {"SERVICE NEEDED PLANNED DOMAIN KIND TARGET ORDERED READY UNAVAILABLE", "model 9 10 a reclaimable 6 6 4 true"},
		"shares": {
			"SERVICE URGENCY CUSTOMER OFFERED TOKENS/S USUAL TOKENS/S OVER SHARE", "model 2 c 900 100 true",
			"SERVICE WAITING BYTES TURN EVERY MS BY URGENCY", "model 3 70 5 [0 1 2]",
		},
	} {
		var out, errs bytes.Buffer
		code := Run(t.Context(), []string{command, "--entry-url", server.URL}, Streams{Out: &out, Err: &errs})
		assert.Equal(t, code, 0, "%s: %s", command, errs.String())
		assert.DeepEqual(t, lines(out.String()), want)
	}
	views[entryapi.UsagePath] = entryapi.Usage{}
	var errs bytes.Buffer
	code := Run(t.Context(), []string{"usage", "--entry-url", server.URL}, Streams{Out: &errs, Err: &errs})
	assert.Assert(t, code != 0)
	assert.Assert(t, bytes.Contains(errs.Bytes(), []byte("leaders")), errs.String())
}
