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
	// refutationBits is the number of low bits of an incarnation that count
	// how often the daemon refuted, within one life, that it failed. The bits
	// above hold the wall clock at the start, in milliseconds.
	refutationBits = 16
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

// firstIncarnation returns the incarnation that a life of a daemon begins
// with. Raising it within the life never reaches that of a later one.
func firstIncarnation(started uint64) uint64 { return started << refutationBits }

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
			return d.Incarnation>>refutationBits <= started
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
