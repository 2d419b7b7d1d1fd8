package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

func productResult(t *testing.T, w *workload, s scenario, v variant, seed uint64) result {
	t.Helper()
	var r result
	synctest.Test(t, func(t *testing.T) {
		var err error
		r, err = runProduct(w, s, v, seed)
		assert.NilError(t, err)
	})
	return r
}

const (
	fullSeeds  = 10
	quickSeeds = 2
	// ablationSeeds is the maximum number of seeds for each ablation.
	ablationSeeds = 3
)

// TestMeasure runs all experiments if MEASURE is set. SEED sets the first
// seed, QUICK reduces the number of seeds, and OUT is the directory that the
// page and its plots are written to.
func TestMeasure(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("MEASURE is not set")
	}
	first, err := strconv.ParseUint(orDefault(os.Getenv("SEED"), "1"), 10, 64)
	assert.NilError(t, err)
	seeds := fullSeeds
	if os.Getenv("QUICK") != "" {
		seeds = quickSeeds
	}
	var results collection
	t.Run("all", func(t *testing.T) {
		for _, w := range workloads() {
			for i := range uint64(seeds) {
				measureSeed(t, &results, w, first+i, int(i) < min(seeds, ablationSeeds))
			}
		}
	})
	if out := os.Getenv("OUT"); out != "" {
		writeReport(t, out, &results)
	}
}

// TestMeasurementsPageEndsWithPlatformText fails if platform.md was edited and
// docs/MEASUREMENTS.md was not written again.
func TestMeasurementsPageEndsWithPlatformText(t *testing.T) {
	page, err := os.ReadFile("../docs/MEASUREMENTS.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(page), "\n"+platformText))
}

func orDefault(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// measureSeed runs all experiments of a workload and seed as parallel subtests.
func measureSeed(t *testing.T, results *collection, w *workload, seed uint64, ablate bool) {
	for _, s := range scenarios() {
		t.Run(fmt.Sprintf("%s/%s/%d", w.name, s.name, seed), func(t *testing.T) {
			t.Parallel()
			for _, name := range baselineNames() {
				results.add(runBaseline(w, s, name, seed))
			}
			results.add(productResult(t, w, s, defaultVariant(), seed))
		})
	}
	if !ablate {
		return
	}
	for _, a := range ablations() {
		for _, s := range a.scenarios {
			t.Run(fmt.Sprintf("%s/%s/%s/%d", w.name, s, a.variant.name, seed), func(t *testing.T) {
				t.Parallel()
				results.add(productResult(t, w, scenarioNamed(s), a.variant, seed))
			})
		}
	}
}

// writeReport writes the Markdown page and its plots into dir.
func writeReport(t *testing.T, dir string, results *collection) {
	t.Helper()
	assert.NilError(t, os.MkdirAll(filepath.Join(dir, "plots"), 0o755))
	page := results.markdown()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "MEASUREMENTS.md"), []byte(page), 0o644))
	for _, w := range workloads() {
		assert.NilError(t, plotAttainment(&results.resultSet, w, filepath.Join(dir, "plots", "attainment-"+w.name+".png")))
		assert.NilError(t, plotFirstTokens(&results.resultSet, w, filepath.Join(dir, "plots", "first-token-"+w.name+".png")))
	}
}

func TestBaselinesAreDeterministic(t *testing.T) {
	w := workloads()[0]
	for _, name := range baselineNames() {
		a, b := runBaseline(w, scenarioNamed("crash"), name, 7), runBaseline(w, scenarioNamed("crash"), name, 7)
		assert.Equal(t, a.summaryLine(), b.summaryLine())
	}
}

func TestSteadyArrivalsAreEqualInAllScenarios(t *testing.T) {
	for _, w := range workloads() {
		steady := w.arrivals(w.active(poolSlots, poolSlots), scenarioNamed("steady"), 3)
		var kept []*request
		for _, q := range w.arrivals(w.active(poolSlots, poolSlots), scenarioNamed("burst-lowest"), 3) {
			if !q.burst {
				kept = append(kept, q)
			}
		}
		assert.Equal(t, len(steady), len(kept))
		for i := range steady {
			assert.Equal(t, steady[i].arrived, kept[i].arrived)
			assert.Equal(t, steady[i].length, kept[i].length)
		}
	}
}

// checkConservation checks that every request has ended and that each generated
// token was either delivered to a caller or counted as wasted.
func checkConservation(t *testing.T, sim *simulation) {
	t.Helper()
	accounted, generated := 0, 0
	for _, q := range sim.requests {
		assert.Assert(t, q.outcome != pending)
		if q.outcome == completed {
			assert.Equal(t, q.delivered, q.length)
		}
		accounted += q.delivered + q.wasted
	}
	for _, e := range sim.engines {
		generated += e.generated
	}
	assert.Equal(t, accounted, generated)
}

func TestTokensAreConserved(t *testing.T) {
	for _, name := range []string{"burst-customer", "crash", "silent"} {
		s := scenarioNamed(name)
		for _, b := range baselineNames() {
			t.Run(name+"/"+b, func(t *testing.T) {
				_, sim := simulateBaseline(workloads()[1], s, b, 2)
				checkConservation(t, sim)
			})
		}
		t.Run(name+"/"+productName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, sim, err := simulateProduct(workloads()[1], s, defaultVariant(), 2)
				assert.NilError(t, err)
				checkConservation(t, sim)
			})
		})
	}
}

// collection collects the results of parallel runs and prints each of them.
type collection struct {
	mu sync.Mutex
	resultSet
}

func (c *collection) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	fmt.Println(r.summaryLine())
}
