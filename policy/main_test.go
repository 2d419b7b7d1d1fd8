package policy

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and a fixed number of steps for the property-based
// tests. Flags on the command line override them, for example -rapid.seed=7
// -rapid.checks=5000.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20261", "rapid.steps": "300", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
