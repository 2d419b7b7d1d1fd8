package placement

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSmallFleetsCompareAllServers(t *testing.T) {
	assert.Equal(t, sampleShare(7, 18), 1.0)
	assert.Equal(t, sampleShare(maxDirectPeers, 112), 1.0)
	assert.Assert(t, sampleShare(74, 112) < 0.2)
	assert.Equal(t, sampleShare(400, 4), 1.0)
}

func TestSampleHoldsServersThatMayHaveThePrompt(t *testing.T) {
	const servers = 200
	req := long("archive", 1)
	candidates := occupied(servers, 12, 0, 0)
	candidates[7].CachedTokens = 13000
	home := candidates[homeIndex(candidates, req)].Server.ID
	rnd := rand.New(rand.NewPCG(1, 1))
	total := 0
	for range 100 {
		held := map[string]bool{}
		for _, c := range sample(candidates, req, 0.1, rnd) {
			held[c.Server.ID] = true
		}
		assert.Assert(t, held[home] && held["server-7"])
		total += len(held)
	}
	assert.Assert(t, total > 100*servers/20 && total < 100*servers/5, "%d", total)
}
