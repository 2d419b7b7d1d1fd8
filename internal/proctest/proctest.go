// Package proctest runs the project's programs as processes for tests. Only
// processes that it started are ever signaled.
package proctest

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jacinththread/jacinththread/internal/logtest"
)

// logTail bounds the output of a process that a failed test prints, in bytes.
const logTail = 4 << 10

// Build builds programs of the project, by the names of their directories under
// cmd, into a directory. The root is the path to the repository.
func Build(root, dir string, programs ...string) error {
	for _, name := range programs {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "./cmd/"+name)
		build.Dir = root
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("build of %s: %w\n%s", name, err, out)
		}
	}
	return nil
}

// Process is one program that a test started.
type Process struct {
	name string
	cmd  *exec.Cmd
	out  logtest.Buffer
	// done is closed when the process has ended and was waited for.
	done chan struct{}
}

// Start starts the program at a path and ends it with the test.
func Start(t *testing.T, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.out.Most = logTail
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start of %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("last output of %s:\n%s", name, p.out.String())
		}
	})
	return p
}

// Signal sends a signal unless the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// WaitEnd waits for the process's own end and returns its exit code, or false
// after the bound.
func (p *Process) WaitEnd(bound time.Duration) (int, bool) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), true
	case <-time.After(bound):
		return 0, false
	}
}
