package entry

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/route"
	"github.com/jacinththread/jacinththread/store"
)

// records puts changed records in force.
type records struct {
	decoder Decoder
	catalog *backend.Catalog
	table   atomic.Pointer[route.Table]
	inForce func(route.Version)
	log     *log.Logger
}

// Table returns the configuration in force, or nil.
func (r *records) Table() *route.Table { return r.table.Load() }

// apply takes over changes, servers before configurations: callers come once
// there is a configuration.
func (r *records) apply(changes []store.Entry) {
	var servers []backend.Change
	var configs []store.Entry
	for _, e := range changes {
		if e.Key == ConfigKey {
			configs = append(configs, e)
		} else if id, ok := strings.CutPrefix(e.Key, ServersPrefix); ok {
			servers = append(servers, r.serverChange(id, e))
		}
	}
	r.catalog.Apply(servers, time.Now())
	for _, e := range configs {
		r.applyConfig(e)
	}
}

// renews reports whether a record only says that a server still lives.
func (r *records) renews(e store.Entry) bool {
	id, ok := strings.CutPrefix(e.Key, ServersPrefix)
	if !ok {
		return false
	}
	s, err := r.decoder.Server(id, e)
	return err == nil && r.catalog.Has(&s)
}

// applyConfig puts a configuration in force unless it is older than the
// present one or can't be read.
func (r *records) applyConfig(e store.Entry) {
	if e.Deleted {
		r.log.Error("configuration was deleted, keeping the last one", "revision", e.Revision)
		return
	}
	c, err := r.decoder.Config(e)
	if err != nil {
		r.log.Error("configuration was not read, keeping the last one", "revision", e.Revision, "err", err)
		return
	}
	old := r.table.Load()
	if old != nil && c.Version <= old.Version() {
		r.log.Warn("configuration is not newer, keeping the last one", "version", int64(c.Version), "in_force", int64(old.Version()), "revision", e.Revision)
		return
	}
	table := route.Compile(c)
	r.table.Store(table)
	r.inForce(c.Version)
	routes, keys := table.Size()
	r.log.Info("configuration in force", "version", int64(c.Version), "revision", e.Revision, "routes", routes, "keys", keys)
}

// serverChange decodes the record of a server.
func (r *records) serverChange(id string, e store.Entry) backend.Change {
	change := backend.Change{ID: id, Revision: int64(e.Revision)}
	if e.Deleted {
		return change
	}
	s, err := r.decoder.Server(id, e)
	if err != nil {
		r.log.Warn("server record was not read", "server", id, "revision", e.Revision, "err", err)
		change.Unusable = true
		return change
	}
	change.Server = &s
	return change
}
