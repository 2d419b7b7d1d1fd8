package membership

import (
	"os"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// TestOperatorsPageNamesEveryMetric checks that the operators' page documents
// every registered metric.
func TestOperatorsPageNamesEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/operations/membership.md")
	assert.NilError(t, err)
	r := metrics.NewRegistry()
	newServiceMetrics(r)
	names := 0
	r.Each(func(name string, _ any) {
		names++
		assert.Assert(t, strings.Contains(string(page), "`"+name+"`"), name)
	})
	assert.Assert(t, names > 0)
}
