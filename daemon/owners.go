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
	// maxRefutations bounds how often a daemon raises its incarnation within
	// one life, in refutations. A restart raises it to the wall clock, which is
	// further ahead.
	maxRefutations = 1000
	// defaultRetention is used while no bundle is in force.
	defaultRetention = 24 * time.Hour
)

// owners tells whether the daemons that own claims are alive.
type owners struct {
	view membership.View
	self string
}

// ownerName names one life of a daemon.
func ownerName(name string, started uint64) string {
	return name + "/" + strconv.FormatUint(started, 10)
}

// alive reports whether the life of a daemon that an owner name stands for may
// still run.
func (o owners) alive(owner string) bool {
	name, text, ok := strings.Cut(owner, "/")
	started, err := strconv.ParseUint(text, 10, 64)
	if !ok || err != nil {
		return false
	}
	for _, d := range o.view.Daemons() {
		if d.Name == name {
			return d.Incarnation < started+maxRefutations
		}
	}
	return false
}

// sweeps reports whether this daemon removes the expired claims of a shard.
func (o owners) sweeps(shard string) bool {
	return policy.Assign(shard, o.view.Schedulers()) == o.self
}

// retention returns how long answers are kept.
func retention(b bundle.Source) time.Duration {
	active := b.Current()
	if active == nil {
		return defaultRetention
	}
	return time.Duration(active.Bundle.RetentionHours) * time.Hour
}
