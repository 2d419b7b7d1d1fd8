package entrydir

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/membership"
)

// fakeView is a membership.View with a fixed list of daemons.
type fakeView struct {
	membership.View
	daemons []membership.Daemon
}

// Daemons implements membership.View.
func (v *fakeView) Daemons() []membership.Daemon { return v.daemons }

// fleet returns n alive daemons spread over three failure domains in one region and
// one in another region.
func fleet(n int) []membership.Daemon {
	domains := []string{"prai", "bukit-tengah", "butterworth", "boston-yard"}
	out := make([]membership.Daemon, n)
	for i := range out {
		domain := domains[i%len(domains)]
		region := "utara"
		if domain == "boston-yard" {
			region = "new-england"
		}
		name := fmt.Sprintf("entry-%03d", i)
		out[i] = membership.Daemon{
			Name: name, State: membership.Alive, Region: region, Domain: domain,
			CallerAddr: name + ":8080", BundleVersion: 1, Load: 10,
		}
	}
	return out
}

// newRand returns a random number generator with a fixed seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// countFirst returns how often each daemon comes first in the lists for a number of
// callers.
func countFirst(daemons []membership.Daemon, domain string, callers int) map[string]int {
	rng := newRand()
	counts := map[string]int{}
	for range callers {
		counts[Order(daemons, domain, 3, rng)[0].Name]++
	}
	return counts
}

func TestOwnDomainComesFirstAndAnotherIsIncluded(t *testing.T) {
	rng := newRand()
	for range 100 {
		got := Order(fleet(40), "prai", 3, rng)
		assert.Equal(t, len(got), 3)
		assert.Equal(t, got[0].Domain, "prai")
		assert.Equal(t, got[1].Domain, "prai")
		assert.Assert(t, got[2].Domain == "bukit-tengah" || got[2].Domain == "butterworth")
	}
}

func TestCallersSpread(t *testing.T) {
	const callers = 10_000
	got := countFirst(fleet(40), "prai", callers)
	assert.Equal(t, len(got), 10)
	for name, n := range got {
		assert.Assert(t, n < 2*callers/len(got), "%s got %d callers", name, n)
	}
	assert.Equal(t, len(countFirst(fleet(40), "", callers)), 40)
}

func TestLowLoadIsFavoured(t *testing.T) {
	daemons := fleet(8)
	daemons[0].Load = 20 // Daemon 4 is in the same failure domain, with a load of 10.
	got := countFirst(daemons, "prai", 10_000)
	assert.Assert(t, got["entry-004"] > got["entry-000"])
	assert.Assert(t, got["entry-000"] > 0)
}

func TestOverloadedDomainSpills(t *testing.T) {
	daemons := fleet(40)
	for i := range daemons {
		if daemons[i].Domain == "prai" {
			daemons[i].Load = 200
		}
	}
	outside := 0
	for name, n := range countFirst(daemons, "prai", 1000) {
		if d := daemons[slices.IndexFunc(daemons, func(d membership.Daemon) bool { return d.Name == name })]; d.Domain != "prai" {
			outside += n
			assert.Equal(t, d.Region, "utara")
		}
	}
	assert.Assert(t, outside > 500)
}

func TestSuspectedAndUnconfiguredDaemonsComeLast(t *testing.T) {
	daemons := fleet(4)
	daemons[0].State = membership.Suspect
	daemons[1].BundleVersion = 0
	for range 50 {
		got := Order(daemons, "prai", 4, newRand())
		last := []string{got[2].Name, got[3].Name}
		slices.Sort(last)
		assert.DeepEqual(t, last, []string{"entry-000", "entry-001"})
	}
}

// TestOrderInvariants checks for arbitrary states and loads that Order returns as many
// daemons as possible, each at most once and none that is leaving or dead.
func TestOrderInvariants(t *testing.T) {
	states := []membership.DaemonState{membership.Alive, membership.Suspect, membership.Leaving, membership.Dead}
	rapid.Check(t, func(t *rapid.T) {
		daemons := fleet(rapid.IntRange(0, 30).Draw(t, "daemons"))
		usable := map[string]bool{}
		for i := range daemons {
			daemons[i].State = rapid.SampledFrom(states).Draw(t, "state")
			daemons[i].Load = rapid.Uint32().Draw(t, "load")
			usable[daemons[i].Name] = daemons[i].State == membership.Alive || daemons[i].State == membership.Suspect
		}
		count := rapid.IntRange(1, 8).Draw(t, "count")
		domain := rapid.SampledFrom([]string{"", "prai", "boston-yard", "nowhere"}).Draw(t, "domain")
		got := Order(daemons, domain, count, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		usableCount := 0
		for _, ok := range usable {
			if ok {
				usableCount++
			}
		}
		assert.Equal(t, len(got), min(usableCount, count))
		seen := map[string]bool{}
		for _, e := range got {
			assert.Assert(t, usable[e.Name] && !seen[e.Name])
			seen[e.Name] = true
		}
	})
}

func TestHandler(t *testing.T) {
	d := New(&fakeView{daemons: fleet(8)}, 3, 30*time.Second)
	w := httptest.NewRecorder()
	d.ServeHTTP(w, httptest.NewRequest("GET", "/v1/entries?domain=prai", nil))
	var got response
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
	assert.Equal(t, got.TTLMs, int64(30_000))
	assert.Equal(t, len(got.Entries), 3)
	assert.Equal(t, got.Entries[0].Domain, "prai")
	w = httptest.NewRecorder()
	d.ServeHTTP(w, httptest.NewRequest("GET", fmt.Sprintf("/v1/entries?domain=%0200d", 1), nil))
	assert.Equal(t, w.Code, 400)
}

func TestNoDaemonsGiveAnEmptyList(t *testing.T) {
	w := httptest.NewRecorder()
	New(&fakeView{}, 0, time.Second).ServeHTTP(w, httptest.NewRequest("GET", "/v1/entries", nil))
	assert.Equal(t, w.Body.String(), "{\"entries\":[],\"ttl_ms\":1000}\n")
}

func BenchmarkOrder410(b *testing.B) {
	daemons, rng := fleet(410), newRand()
	b.ReportAllocs()
	for b.Loop() {
		Order(daemons, "prai", 3, rng)
	}
}
