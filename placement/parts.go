package placement

import "time"

const (
	// maxParts is the largest number of prompt parts recorded per server.
	maxParts = 1000
	// partTTL is how long after its last use a part is assumed to be cached.
	partTTL = 30 * time.Second
)

// cachedTokens returns the number of tokens at the beginning of the prompt that
// were sent to the server within partTTL.
func (st *serverState) cachedTokens(now time.Time, prompt []Part) int {
	n := 0
	for _, p := range prompt {
		if used, ok := st.parts[p.Hash]; !ok || now.Sub(used) > partTTL {
			break
		}
		n += p.Tokens
	}
	return n
}

// recordParts records that parts were sent to the server.
func (st *serverState) recordParts(parts []uint64, now time.Time) {
	for _, p := range parts {
		st.parts[p] = now
	}
	if len(st.parts) > maxParts {
		st.evictParts(now)
	}
}

// evictParts reduces the recorded parts to at most maxParts/2. It removes parts
// that were not used recently and then, if necessary, arbitrary ones.
func (st *serverState) evictParts(now time.Time) {
	for age := partTTL; len(st.parts) > maxParts/2 && age > time.Second; age /= 2 {
		for id, used := range st.parts {
			if now.Sub(used) > age {
				delete(st.parts, id)
			}
		}
	}
	for id := range st.parts {
		if len(st.parts) <= maxParts/2 {
			return
		}
		delete(st.parts, id)
	}
}
