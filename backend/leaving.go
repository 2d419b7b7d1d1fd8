package backend

import "time"

// leavingMemory is how long the catalog remembers a process that said that it is about to stop and whose
// record is gone.
const leavingMemory = 10 * time.Minute

// ReportLeaving records that the process of a server said that it is about to stop. It counts as draining
// whatever its record says. It reports whether that was new.
func (c *Catalog) ReportLeaving(instance Instance, source string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.leaving[instance]; known {
		return false
	}
	c.leaving[instance] = now
	c.log.Info("backend server says that it leaves", "server", instance.ID, "started", instance.Started, "source", source)
	c.publish()
	return true
}

// Leaving returns the processes in the catalog that said that they are about to stop. Those that are gone are
// left out, so that daemons don't tell each other of them again and again.
func (c *Catalog) Leaving() []Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Instance
	for instance := range c.leaving {
		if c.has(instance) {
			out = append(out, instance)
		}
	}
	return out
}

// has reports whether a process has a record. The caller must hold c.mu.
func (c *Catalog) has(instance Instance) bool {
	s := c.servers[instance.ID]
	return s != nil && s.Started == instance.Started
}

// effective returns a server's record with what the server itself said. The caller must hold c.mu.
func (c *Catalog) effective(s *Server) *Server {
	if _, leaving := c.leaving[s.Instance()]; !leaving || s.Draining {
		return s
	}
	draining := *s
	draining.Draining = true
	return &draining
}

// forgetLeaving removes processes whose records have been gone for long. The caller must hold c.mu.
func (c *Catalog) forgetLeaving(now time.Time) {
	for instance, since := range c.leaving {
		if !c.has(instance) && now.Sub(since) > leavingMemory {
			delete(c.leaving, instance)
		}
	}
}
