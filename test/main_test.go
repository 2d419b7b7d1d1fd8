package test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/jacinththread/jacinththread/internal/proctest"
)

// binaries is the directory that holds the built programs.
var binaries string

// programs are the project's programs that the tests run.
var programs = []string{"jacinththreadd", "standin"}

func TestMain(m *testing.M) {
	os.Exit(runMain(m))
}

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "jacinththread-proofs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	if err := proctest.Build("..", dir, programs...); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// program returns the path of a built program.
func program(name string) string { return filepath.Join(binaries, name) }
