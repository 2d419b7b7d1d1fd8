package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaries is the directory of the built programs.
var binaries string

// programs are the project's commands that the proofs run.
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
	for _, name := range programs {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "../cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build of %s: %v\n%s", name, err, out)
			return 1
		}
	}
	return m.Run()
}
