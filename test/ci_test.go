package test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// runCI runs the CI script with a make target that prints an output and fails, and returns its exit code.
func runCI(t *testing.T, output string) int {
	t.Helper()
	dir := t.TempDir()
	script, err := os.ReadFile("../.ci/run")
	assert.NilError(t, err)
	assert.NilError(t, os.Mkdir(filepath.Join(dir, ".ci"), 0o755))
	for name, content := range map[string]string{
		".ci/run": string(script), "output": output, "KNOWN-RED.txt": "TestKnown | command | seen | 1\nTestParent/known | command | seen | 2\n",
		"Makefile": "test:\n\t@cat output; exit 1\n",
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o755))
	}
	out, err := exec.Command("bash", filepath.Join(dir, ".ci/run")).CombinedOutput()
	t.Log(string(out))
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	assert.NilError(t, err)
	return 0
}

// TestCIPassesOverKnownRedTestsOnly guards against a verdict that depends on what the compiler prints, and against build errors,
// races and other failures that pass beside a test that is known to fail.
func TestCIPassesOverKnownRedTestsOnly(t *testing.T) {
	const known = "--- FAIL: TestKnown (0.00s)\nFAIL\n"
	for output, passes := range map[string]bool{
		known: true,
		known + "    --- FAIL: TestKnown/case/of_two (0.00s)\n":                          false,
		known + "--- FAIL: TestParent (0.00s)\n    --- FAIL: TestParent/known (0.00s)\n": true,
		known + "--- FAIL: TestParent (0.00s)\n    --- FAIL: TestParent/other (0.00s)\n": false,
		"# example.com/package\n[DISABLED] [bisect-match 0x1]\n" + known:                 true,
		"--- FAIL: TestOther (0.00s)\n":                                                  false,
		known + "--- FAIL: TestKnownNot (0.00s)\n":                                       false,
		known + "FAIL\texample.com/package [build failed]\n":                             false,
		known + "FAIL\texample.com/package [setup failed]\n":                             false,
		"WARNING: DATA RACE\n" + known:                                                   false,
		"panic: x\n" + known:                                                             false,
		"# example.com/package\nvet: ./x.go:1:1: undefined: y\n":                         false,
	} {
		t.Run(fmt.Sprintf("%.30q", output), func(t *testing.T) {
			assert.Equal(t, runCI(t, output) == 0, passes)
		})
	}
}
