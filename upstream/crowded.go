package upstream

import "time"

// crowdedPause is how long no reference connection is opened to a server that has reset a new connection of a request.
const crowdedPause = time.Minute

// wasRefused reports whether the server has reset the connection at its first request, soon after it was opened. Servers do so
// that have too many connections.
func (c *Conn) wasRefused() bool {
	return c.requests == 1 && time.Since(c.openedAt) < refusedTime && c.wasReset()
}

// yieldReference closes the reference connection over the path of a connection that was refused, unless it is in use, and opens
// no other one for a while: requests need the place.
func (p *Pool) yieldReference(c *Conn) {
	p.mu.Lock()
	r := p.references[referenceKey{c.instance, c.Via}]
	p.mu.Unlock()
	if r == nil || !r.close() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crowdedUntil = time.Now().Add(crowdedPause)
}

// isCrowded reports whether the server has no place for a reference connection.
func (r *reference) isCrowded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.crowdedUntil)
}
