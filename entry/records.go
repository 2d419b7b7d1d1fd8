package entry

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/mirror"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/store"
)

// records applies changes of the mirrored records to the routing table and the
// server catalog.
type records struct {
	decoder Decoder
	catalog *backend.Catalog
	table   atomic.Pointer[route.Table]
	// keyed is set if every configuration has to list customers.
	keyed bool
	// invalid counts records that were not applied.
	invalid metrics.Counter
	// onConfig is called with the version of each configuration put in force.
	onConfig func(route.Version)
	// onBlock is called with the value of each block of the quarantine.
	onBlock func(value []byte, now time.Time) error
	log     *log.Logger
}

// Table returns the routing table of the configuration in force, or nil if none
// has been received.
func (r *records) Table() *route.Table { return r.table.Load() }

// apply applies a batch of changes. Servers come before configurations, because
// the daemon accepts callers as soon as it has a configuration.
func (r *records) apply(changes []store.Entry, status mirror.Status) {
	var servers []backend.Change
	var configs []store.Entry
	for _, e := range changes {
		if e.Key == ConfigKey {
			configs = append(configs, e)
		} else if id, ok := strings.CutPrefix(e.Key, ServersPrefix); ok {
			servers = append(servers, r.serverChange(id, e))
		} else if strings.HasPrefix(e.Key, BlocksPrefix) && !e.Deleted {
			r.applyBlock(e)
		}
	}
	r.catalog.Apply(servers, freshness(status))
	for _, e := range configs {
		r.applyConfig(e)
	}
}

// freshness returns how current the servers' records in a copy are.
func freshness(status mirror.Status) backend.Freshness {
	return backend.Freshness{AsOf: status.Updated, OutageEnd: status.OutageEnd}
}

// isRenewal reports whether e only renews a server's record without changing it.
func (r *records) isRenewal(e store.Entry) bool {
	id, ok := strings.CutPrefix(e.Key, ServersPrefix)
	if !ok {
		return false
	}
	s, err := r.decoder.Server(id, e)
	return err == nil && r.catalog.Has(&s)
}

// applyConfig puts a configuration in force. It keeps the current one if the
// record was deleted, cannot be decoded or does not have a higher version.
func (r *records) applyConfig(e store.Entry) {
	if e.Deleted {
		r.log.Error("configuration was deleted, keeping the current one", "revision", e.Revision)
		return
	}
	c, err := r.decoder.Config(e)
	if err != nil {
		r.invalid.Inc(1)
		r.log.Error("decoding the configuration failed, keeping the current one", "revision", e.Revision, "err", err)
		return
	}
	old := r.table.Load()
	if old != nil && c.Version <= old.Version() {
		r.log.Warn("configuration is not newer, keeping the current one", "version", int64(c.Version), "in_force", int64(old.Version()), "revision", e.Revision)
		return
	}
	table := route.Compile(c)
	if !table.Keyed() && (r.keyed || old != nil && old.Keyed()) {
		r.invalid.Inc(1)
		r.log.Error("configuration lists no customers and would open all routes, keeping the current one", "version", int64(c.Version), "revision", e.Revision)
		return
	}
	r.table.Store(table)
	r.onConfig(c.Version)
	routes, keys := table.Size()
	r.log.Info("configuration in force", "version", int64(c.Version), "revision", e.Revision, "routes", routes, "keys", keys)
}

// applyBlock applies a block of the quarantine. A block that was deleted has ended by answers,
// which daemons tell each other.
func (r *records) applyBlock(e store.Entry) {
	if err := r.onBlock(e.Value, time.Now()); err != nil {
		r.invalid.Inc(1)
		r.log.Error("decoding a block failed", "key", e.Key, "revision", e.Revision, "err", err)
	}
}

// serverChange decodes the record of a server. A record that cannot be decoded
// is marked as invalid.
func (r *records) serverChange(id string, e store.Entry) backend.Change {
	change := backend.Change{ID: id, Revision: int64(e.Revision)}
	if e.Deleted {
		return change
	}
	s, err := r.decoder.Server(id, e)
	if err != nil {
		r.invalid.Inc(1)
		r.log.Warn("decoding the server record failed", "server", id, "revision", e.Revision, "err", err)
		change.Invalid = true
		return change
	}
	change.Server = &s
	return change
}
