package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/resume"
)

// setVersion changes the software version in a server's record.
func (d *deployment) setVersion(id, version string) {
	for _, s := range d.catalog.Ready("s") {
		if s.ID == id {
			changed := *s
			changed.Version = version
			d.put(changed)
		}
	}
}

// TestResumeIsRefusedUnlessTheStreamCanContinue checks requests that resume a stream whose
// service, version or servers don't allow it to continue.
func TestResumeIsRefusedUnlessTheStreamCanContinue(t *testing.T) {
	d := newDeployment(t, resumeRoute, streamRoute)
	d.origins = knownOrigins{
		"same":          {Service: "s", Version: "v1"},
		"other version": {Service: "s", Version: "v2"},
		"other service": {Service: "u", Version: "v1"},
	}
	d.addServer("a", streams(eventCount, 0, nil))
	d.start()
	for _, resumes := range []string{"other version", "other service", "unknown", ""} {
		got := d.send("POST", "/resume/", "not-"+resumes, "Last", "4", "Resumes", resumes)
		assert.Equal(t, got.status, http.StatusServiceUnavailable, resumes)
		assert.Assert(t, got.header.Get("Retry-After") != "", resumes)
		assert.Equal(t, len(d.runsOf("not-"+resumes)), 0)
	}
	got := d.send("POST", "/resume/", "goes-on", "Last", "4", "Resumes", "same")
	assert.Equal(t, got.body, eventsFrom(5, eventCount))
	got = d.send("POST", "/resume/", "new")
	assert.Equal(t, got.body, eventsFrom(1, eventCount))
}

// TestStreamOfAServerOfUnknownVersionIsNotResumed checks that two servers without a version
// don't count as of the same version.
func TestStreamOfAServerOfUnknownVersionIsNotResumed(t *testing.T) {
	d := newDeployment(t, resumeRoute)
	d.addServer("a", streams(eventCount, 5, resetConn))
	d.addServer("b", streams(eventCount, 5, resetConn))
	d.setVersion("a", "")
	d.setVersion("b", "")
	d.start()
	got := d.send("POST", "/resume/", "r1")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, len(d.runsOf("r1")), 1)
}

func TestVersionOfTheFirstEventCounts(t *testing.T) {
	q := &request{Forwarder: &Forwarder{cfg: Config{Streams: knownOrigins{}}}, route: &resumeRoute, service: "s"}
	q.beginStream(&backend.Server{Version: "v1"})
	q.beginStream(&backend.Server{Version: "v2"})
	assert.Equal(t, *q.origin, resume.Origin{Service: "s", Version: "v1"})
	assert.Assert(t, q.mayContinue(&backend.Server{Version: "v1"}))
	assert.Assert(t, !q.mayContinue(&backend.Server{Version: "v2"}))
}

// TestUnnamedStreamContinuesWhereOnlyOneVersionServed checks requests that resume a stream
// without naming the request that began it: it continues only if the service has had servers of
// one version since before the stream can have begun.
func TestUnnamedStreamContinuesWhereOnlyOneVersionServed(t *testing.T) {
	brief := resumeRoute
	brief.Timeout = 100 * time.Millisecond
	d := newDeployment(t, brief)
	d.addServer("a", streams(eventCount, 0, nil))
	d.start()
	resumeUnnamed := func(id string) result { return d.send("POST", "/resume/", id, "Last", "4") }
	assert.Equal(t, resumeUnnamed("early").status, http.StatusServiceUnavailable, "earlier versions are not known")
	time.Sleep((soleVersionTimeouts + 1) * brief.Timeout)
	assert.Equal(t, resumeUnnamed("one").body, eventsFrom(5, eventCount))
	d.addServer("b", streams(eventCount, 0, nil))
	d.setVersion("b", "v2")
	assert.Equal(t, resumeUnnamed("two").status, http.StatusServiceUnavailable)
	d.catalog.Apply([]backend.Change{{ID: "b"}}, backend.Freshness{AsOf: time.Now()})
	assert.Equal(t, resumeUnnamed("just left").status, http.StatusServiceUnavailable)
	time.Sleep((soleVersionTimeouts + 1) * brief.Timeout)
	assert.Equal(t, resumeUnnamed("again one").body, eventsFrom(5, eventCount))
	assert.Equal(t, len(d.runsOf("two"))+len(d.runsOf("early"))+len(d.runsOf("just left")), 0)
}
