package settings

import (
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// exampleHosts is the number of entry hosts of each example deployment.
const exampleHosts = 7

func TestExamplesAreValidAndFitTogether(t *testing.T) {
	domains := map[string][]string{
		"utility":   {"prai", "bukit-tengah", "butterworth"},
		"halvorsen": {"boston-yard", "providence-mill", "worcester-loft"},
	}
	regions := map[string]string{"utility": "utara", "halvorsen": "new-england"}
	taken := map[string]string{}
	for deployment, want := range domains {
		hosts := loadExamples(t, deployment)
		assert.Equal(t, len(hosts), exampleHosts)
		found := map[string]bool{}
		for _, s := range hosts {
			found[s.Domain] = true
			assert.Equal(t, s.Region, regions[deployment])
			for _, addr := range []string{s.Listen.Callers, s.Listen.Peers, s.Listen.Operators} {
				assert.Equal(t, taken[addr], "", "%s also listens on %s", s.Name, addr)
				taken[addr] = s.Name
			}
			assert.DeepEqual(t, s.Peers.Seeds, hosts[0].Peers.Seeds)
		}
		for _, domain := range want {
			assert.Assert(t, found[domain], "no host in failure domain %s", domain)
		}
		assert.Equal(t, len(found), len(want))
		checkSeeds(t, hosts)
	}
}

func loadExamples(t *testing.T, deployment string) []*Settings {
	t.Helper()
	paths, err := filepath.Glob("../examples/" + deployment + "/entry-*.jsonc")
	assert.NilError(t, err)
	var hosts []*Settings
	for _, path := range paths {
		s, err := Load(path)
		assert.NilError(t, err)
		assert.Equal(t, s.Name, strings.TrimSuffix(filepath.Base(path), ".jsonc"))
		hosts = append(hosts, s)
	}
	return hosts
}

// checkSeeds checks that the seed list contains exactly the given hosts.
func checkSeeds(t *testing.T, hosts []*Settings) {
	t.Helper()
	peers := map[string]string{}
	for _, s := range hosts {
		peers[s.Name] = s.Listen.Peers
	}
	seeds := map[string]string{}
	for _, seed := range hosts[0].Peers.Seeds {
		seeds[seed.Name] = seed.Addr
	}
	assert.DeepEqual(t, seeds, peers)
}
