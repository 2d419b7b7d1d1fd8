package peer

import "sync"

// LinkDownCallbacks holds the functions that a bus calls when a link has failed. It is
// safe for concurrent use.
type LinkDownCallbacks struct {
	mu        sync.Mutex
	callbacks []func(name string)
}

// Add adds a function.
func (c *LinkDownCallbacks) Add(f func(name string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callbacks = append(c.callbacks, f)
}

// Notify calls the functions with the name of the daemon at the other end.
func (c *LinkDownCallbacks) Notify(name string) {
	c.mu.Lock()
	callbacks := c.callbacks
	c.mu.Unlock()
	for _, f := range callbacks {
		f(name)
	}
}
