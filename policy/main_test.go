package policy

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the length of the stateful tests. The command
// line may set others, such as -rapid.seed=7 -rapid.checks=5000.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20261", "rapid.steps": "300", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
