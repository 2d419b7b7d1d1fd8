package proctest

import (
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// portsEnv makes this test's program print addresses as another test program, from the port that the variable names.
const portsEnv = "PROCTEST_FIRST_PORT"

const sharedPorts = 20

// TestPortsOfOtherTestProgramsAreLeftAlone guards against daemons of one test that don't start, or that join the fleet of another
// one, because both tests chose a port before either listened on it.
func TestPortsOfOtherTestProgramsAreLeftAlone(t *testing.T) {
	if first := os.Getenv(portsEnv); first != "" {
		printAddrs(t, first)
		return
	}
	first := nextPort.Load()
	mine := map[string]bool{}
	for range sharedPorts {
		mine[FreeAddr(t)] = true
	}
	other := exec.Command(os.Args[0], "-test.run", t.Name())
	other.Env = append(os.Environ(), portsEnv+"="+strconv.FormatInt(first, 10))
	out, err := other.Output()
	assert.NilError(t, err)
	theirs := strings.Fields(string(out))
	assert.Assert(t, len(theirs) >= sharedPorts)
	for _, addr := range theirs {
		assert.Assert(t, !mine[addr], "both have %s", addr)
	}
}

func printAddrs(t *testing.T, first string) {
	n, err := strconv.ParseInt(first, 10, 64)
	assert.NilError(t, err)
	nextPort.Store(n)
	for range sharedPorts {
		os.Stdout.WriteString(FreeAddr(t) + "\n")
	}
}
