package placement

import "math/rand/v2"

// Daemons that place requests at the same time don't see each other's choices. If all of them
// compared all servers, they would all choose the one that had the least to do when loads were
// last exchanged. While slots are scarce in a large fleet, each request therefore compares a random
// sample of the servers, beside those that may have its prompt cached. This answers bursts that
// leave few servers with a free slot.

// minSample is the smallest number of servers in a sample, on average.
const minSample = 8

// sampleShare returns the share of the servers that a request compares while the given number of
// daemons place requests.
func sampleShare(contenders, servers int) float64 {
	if contenders <= maxDirectPeers || servers == 0 {
		return 1
	}
	return min(1, max(float64(maxDirectPeers)/float64(contenders), minSample/float64(servers)))
}

// sample returns the candidates that the request compares: a random share of them, the home of
// its prompt and those that have most of the prompt cached.
func sample(candidates []Candidate, req Request, share float64, rnd *rand.Rand) []Candidate {
	if share >= 1 {
		return candidates
	}
	home := homeIndex(candidates, req)
	var out []Candidate
	for i, c := range candidates {
		if i == home || 2*c.CachedTokens > req.TokensIn || rnd.Float64() < share {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return candidates
	}
	return out
}

// meantFor returns the number of candidates that are meant for the request: the reserved ones if it is tight, the
// others if not.
func meantFor(candidates []Candidate, req *Request) int {
	n := 0
	for i := range candidates {
		if candidates[i].Reserved == req.Tight {
			n++
		}
	}
	return n
}
