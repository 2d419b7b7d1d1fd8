package backend

import (
	"maps"
	"time"
)

// versionMemory is how long a version is remembered after its last server has left.
const versionMemory = time.Hour

// serviceVersion is a software version of a service.
type serviceVersion struct{ service, version string }

// versionHistory tells which versions of a service had servers when.
type versionHistory struct {
	// begun is when the first records were known.
	begun time.Time
	// lastSeen holds the time at which a version last had a server, or the zero time for a
	// version that has one now.
	lastSeen map[serviceVersion]time.Time
}

// begin records the time of the first records.
func (h *versionHistory) begin(now time.Time) {
	if h.begun.IsZero() {
		h.begun = now
	}
}

// update records a change of the servers.
func (h *versionHistory) update(servers map[string]*Server, now time.Time) {
	present := versionsOf(servers)
	for v, seen := range h.lastSeen {
		if seen.IsZero() && !present[v] {
			h.lastSeen[v] = now
		}
	}
	for v := range present {
		h.lastSeen[v] = time.Time{}
	}
	maps.DeleteFunc(h.lastSeen, func(_ serviceVersion, seen time.Time) bool {
		return !seen.IsZero() && now.Sub(seen) > versionMemory
	})
}

// sole returns the only version that a service had since a time.
func (h *versionHistory) sole(service string, since time.Time) (string, bool) {
	if h.begun.IsZero() || h.begun.After(since) {
		return "", false
	}
	sole, count := "", 0
	for v, seen := range h.lastSeen {
		if v.service == service && (seen.IsZero() || !seen.Before(since)) {
			sole = v.version
			count++
		}
	}
	return sole, count == 1 && sole != ""
}

// versionsOf returns the versions that have servers.
func versionsOf(servers map[string]*Server) map[serviceVersion]bool {
	out := map[serviceVersion]bool{}
	for _, s := range servers {
		out[serviceVersion{s.Service, s.Version}] = true
	}
	return out
}
