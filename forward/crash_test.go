package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/placement"
	"github.com/jacinththread/jacinththread/quarantine"
	"github.com/jacinththread/jacinththread/route"
)

// suspectWith returns what a request with a part other than its last one is withheld by.
func suspectWith(part string) quarantine.Request {
	return quarantine.Request{
		Subjects: []quarantine.Subject{{Kind: quarantine.PromptPart, Hash: placement.NewPart(part, 1).Hash}}, Customer: "customer",
	}
}

// It guards against one request that ends as many servers as its route allows attempts.
func TestRequestEndsAtMostTwoServers(t *testing.T) {
	d := newDeployment(t, route.Route{Name: "r", Prefix: "/", Kind: route.Idempotent, MaxAttempts: 4})
	for i := range 6 {
		d.addEndingServer(fmt.Sprint("s", i), func(backend.Server) {})
	}
	d.start()
	res := d.send(http.MethodPost, "/", "one", "Parts", "shared own")
	assert.Equal(t, res.status, http.StatusBadGateway)
	assert.Equal(t, len(d.runsOf("one")), 2)
}

// It guards against requests that servers keep ending under.
func TestRequestsWithAPartThatEndsServersAreNotSent(t *testing.T) {
	d := newDeployment(t, route.Route{Name: "r", Prefix: "/", Kind: route.NonIdempotent})
	for i := range 6 {
		d.addEndingServer(fmt.Sprint("s", i), func(backend.Server) {})
	}
	d.start()
	for i := range 3 {
		res := d.send(http.MethodPost, fmt.Sprint("/crash-", i), fmt.Sprint("crash-", i), "Parts", fmt.Sprint("bad own-", i))
		assert.Equal(t, res.status, http.StatusBadGateway)
	}
	res := d.send(http.MethodPost, "/withheld", "withheld", "Parts", "bad other")
	assert.Equal(t, res.status, http.StatusServiceUnavailable)
	assert.Equal(t, res.header.Get("Retry-After"), "")
	assert.Assert(t, strings.Contains(res.body, errWithheld.Error()))
	assert.Equal(t, len(d.runsOf("withheld")), 0)
	res = d.send(http.MethodPost, "/last", "last part", "Parts", "other bad")
	assert.Equal(t, res.status, http.StatusBadGateway, "the last part of a prompt is its own")
}

// It guards against a request that comes again and again and that servers end under.
func TestRepeatedRequestThatEndsServersIsNotSent(t *testing.T) {
	d := newDeployment(t, route.Route{Name: "r", Prefix: "/", Kind: route.NonIdempotent})
	for i := range 6 {
		d.addEndingServer(fmt.Sprint("s", i), func(backend.Server) {})
	}
	d.start()
	for i := range 3 {
		res := d.send(http.MethodPost, "/posting?a=1", fmt.Sprint("crash-", i))
		assert.Equal(t, res.status, http.StatusBadGateway)
	}
	res := d.send(http.MethodPost, "/posting?a=1", "withheld")
	assert.Equal(t, res.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(d.runsOf("withheld")), 0)
	res = d.send(http.MethodPost, "/posting?a=2", "another")
	assert.Equal(t, res.status, http.StatusBadGateway, "another request was not sent")
}

// It guards against releases that look like crashes.
func TestEndOfALeavingServerIsNoCrash(t *testing.T) {
	d := newDeployment(t, route.Route{Name: "r", Prefix: "/", Kind: route.NonIdempotent})
	for i := range 6 {
		d.addEndingServer(fmt.Sprint("s", i), func(s backend.Server) {
			s.Draining = true
			d.put(s)
		})
	}
	d.start()
	for i := range 5 {
		res := d.send(http.MethodPost, "/", fmt.Sprint("cut-", i), "Parts", "sound own")
		assert.Equal(t, res.status, http.StatusBadGateway)
	}
	assert.Assert(t, !d.quarantine.Withholds(suspectWith("sound")))
}

// It guards against a request that is withheld although a server answers it, at length.
func TestLargeAnswerClearsItsRequest(t *testing.T) {
	d := newDeployment(t, route.Route{Name: "r", Prefix: "/", Kind: route.NonIdempotent})
	for i := range 2 {
		d.addEndingServer(fmt.Sprint("s", i), func(backend.Server) {})
	}
	d.start()
	for i := range 2 {
		res := d.send(http.MethodPost, "/large", fmt.Sprint("crash-", i))
		assert.Equal(t, res.status, http.StatusBadGateway)
	}
	body := strings.Repeat("x", 2*maxBufferedBytes)
	d.addServer("whole", respondsWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
	res := d.send(http.MethodPost, "/large", "answered")
	assert.Equal(t, len(res.body), len(body))
	d.addEndingServer("s3", func(backend.Server) {})
	for i := range 20 {
		if res = d.send(http.MethodPost, "/large", fmt.Sprint("later-", i)); res.status == http.StatusBadGateway {
			break
		}
	}
	assert.Equal(t, res.status, http.StatusBadGateway, "the third server didn't end")
	res = d.send(http.MethodPost, "/large", "last")
	assert.Equal(t, res.status, http.StatusOK, res.body[:min(100, len(res.body))])
}

// It guards against servers that reset connections being taken for crashed ones.
func TestResetOfAServerThatLivesIsNoCrash(t *testing.T) {
	d := newDeployment(t, route.Route{Name: "r", Prefix: "/", Kind: route.NonIdempotent})
	for i := range 6 {
		d.addServer(fmt.Sprint("s", i), resets)
	}
	d.start()
	for i := range 5 {
		res := d.send(http.MethodPost, "/", fmt.Sprint("reset-", i), "Parts", "sound own")
		assert.Equal(t, res.status, http.StatusBadGateway)
	}
	assert.Assert(t, !d.quarantine.Withholds(suspectWith("sound")))
}
