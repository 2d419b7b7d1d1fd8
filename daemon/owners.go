package daemon

import (
	"strconv"
	"strings"
	"time"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/policy"
)

const (
	// refutationBits is the number of low bits of an incarnation. They count how
	// often the daemon has raised it since its start: to refute a suspicion of
	// failure, or to announce that it is leaving. The bits above hold its start
	// time in Unix milliseconds.
	refutationBits = 16
	// defaultRetention is how long responses are kept while no bundle is in
	// force.
	defaultRetention = 24 * time.Hour
)

// ownerChecker decides from the membership whether the owner of a claim is
// alive and which daemon removes expired claims.
type ownerChecker struct {
	view membership.View
	self string
}

// ownerName returns the name under which one run of a daemon owns claims.
func ownerName(name string, started uint64) string {
	return name + "/" + strconv.FormatUint(started, 10)
}

// firstIncarnation returns the incarnation with which a run of a daemon starts.
// Raising it during one run never reaches the incarnation of a later run.
func firstIncarnation(started uint64) uint64 { return started << refutationBits }

// alive reports whether the run of a daemon that owner names may still be
// active. It returns false for a malformed name and for a daemon that has been
// restarted since or is not listed.
func (o ownerChecker) alive(owner string) bool {
	name, text, ok := strings.Cut(owner, "/")
	started, err := strconv.ParseUint(text, 10, 64)
	if !ok || err != nil {
		return false
	}
	for _, d := range o.view.Daemons() {
		if d.Name == name {
			return d.Incarnation>>refutationBits <= started
		}
	}
	return false
}

// sweepsShard reports whether this daemon is the one that removes the expired
// claims of a shard.
func (o ownerChecker) sweepsShard(shard string) bool {
	return policy.Assign(shard, o.view.Schedulers()) == o.self
}

// retention returns how long responses of completed calls are kept.
func retention(b bundle.Source) time.Duration {
	active := b.Current()
	if active == nil {
		return defaultRetention
	}
	return time.Duration(active.Bundle.RetentionHours) * time.Hour
}
