package entry

import (
	"context"
	"strings"

	"github.com/jacinththread/jacinththread/mirror"
	"github.com/jacinththread/jacinththread/store"
)

// daemonService is the service name of daemons in the host list.
const daemonService = "daemons"

// daemonHosts lists the daemons registered in the store. A daemon's name is its
// peer address, because only the addresses of seeds are known.
type daemonHosts struct {
	copy *mirror.Copy
	self string
}

// Hosts implements store.HostList. The local daemon is always listed, even if its
// record is missing.
func (h daemonHosts) Hosts(context.Context) ([]store.Host, error) {
	hosts := []store.Host{{Name: h.self, Addr: h.self, Service: daemonService, State: store.HostLive}}
	for _, e := range h.copy.Records(DaemonsPrefix) {
		name := strings.TrimPrefix(e.Key, DaemonsPrefix)
		if name != h.self {
			hosts = append(hosts, store.Host{Name: name, Addr: name, Service: daemonService, State: store.HostLive})
		}
	}
	return hosts, nil
}
