package settings

import (
	"fmt"
	"net/netip"
)

// addresses checks the addresses that the daemon listens on and advertises.
func (c *checker) addresses() {
	l, a := c.settings.Listen, c.settings.Advertise
	bound := []boundAddr{
		{"listen.callers", c.listenAddr("listen.callers", l.Callers)},
		{"listen.peers", c.listenAddr("listen.peers", l.Peers)},
		{"listen.operators", c.listenAddr("listen.operators", l.Operators)},
	}
	for i, b := range bound {
		for _, earlier := range bound[:i] {
			if overlap(earlier.addr, b.addr) {
				c.report(b.field, "%s is in use by %s", b.addr, earlier.field)
				break
			}
		}
	}
	c.advertisedAddr("advertise.callers", a.Callers, bound[0])
	c.advertisedAddr("advertise.peers", a.Peers, bound[1])
	if a.Callers != "" && a.Callers == a.Peers {
		c.report("advertise.peers", "%s is in use by advertise.callers", a.Peers)
	}
}

// boundAddr is an address to listen on. Its addr is the zero value if the
// setting is not valid.
type boundAddr struct {
	field string
	addr  netip.AddrPort
}

// listenAddr checks an address to listen on. Port 0 lets the operating system
// choose a port.
func (c *checker) listenAddr(field, value string) netip.AddrPort {
	if value == "" {
		c.report(field, "value is required")
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.report(field, "%q is not an IP address and port", value)
		return netip.AddrPort{}
	}
	return addr
}

// advertisedAddr checks the address that others use to reach a bound address.
// It is required if the bound address cannot be reached as it is configured.
func (c *checker) advertisedAddr(field, value string, bound boundAddr) {
	if value == "" {
		if bound.addr.IsValid() && !reachable(bound.addr) {
			c.report(field, "value is required because %s (%s) is no address that others can use", bound.field, bound.addr)
		}
		return
	}
	c.remoteAddr(field, value)
}

// reachable reports whether others can connect to a bound address as it is
// configured: it is not a wildcard address and has a fixed port.
func reachable(addr netip.AddrPort) bool {
	return !addr.Addr().IsUnspecified() && addr.Port() != 0
}

// remoteAddr checks an address that others connect to.
func (c *checker) remoteAddr(field, value string) {
	addr, err := netip.ParseAddrPort(value)
	switch {
	case value == "":
		c.report(field, "value is required")
	case err != nil:
		c.report(field, "%q is not an IP address and port", value)
	case addr.Port() == 0:
		c.report(field, "%s has no port", value)
	case addr.Addr().IsUnspecified():
		c.report(field, "%s is no address that others can use", value)
	}
}

// overlap reports whether two addresses cannot be bound on one host at the same
// time.
func overlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// seeds checks the seed list. The daemon itself may be on it, so that all
// daemons can use the same list.
func (c *checker) seeds() {
	names, addrs := map[string]int{}, map[string]int{}
	for i, seed := range c.settings.Peers.Seeds {
		field := fmt.Sprintf("peers.seeds[%d]", i)
		c.name(field+".name", seed.Name)
		c.remoteAddr(field+".addr", seed.Addr)
		c.uniqueInSeeds(field+".name", seed.Name, names, i)
		c.uniqueInSeeds(field+".addr", seed.Addr, addrs, i)
		c.ownSeed(field, seed)
	}
}

// uniqueInSeeds reports the name or address of seed i if an earlier seed has the
// same one. seen maps the values of earlier seeds to their indexes.
func (c *checker) uniqueInSeeds(field, value string, seen map[string]int, i int) {
	first, doubled := seen[value]
	if doubled && value != "" {
		c.report(field, "%q is given twice, first in peers.seeds[%d]", value, first)
		return
	}
	seen[value] = i
}

// ownSeed checks that a seed with the daemon's own name has its own peer address
// and that no other seed has that address.
func (c *checker) ownSeed(field string, seed Seed) {
	s := c.settings
	own := s.Advertise.Peers
	if own == "" {
		own = s.Listen.Peers
	}
	if own == "" || s.Name == "" {
		return
	}
	switch {
	case seed.Name == s.Name && seed.Addr != own:
		c.report(field+".addr", "%s differs from this daemon's own peer address %s", seed.Addr, own)
	case seed.Name != s.Name && seed.Addr == own:
		c.report(field+".addr", "%s is this daemon's own peer address", seed.Addr)
	}
}
