package test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// logTail bounds the output of a process that a failed test prints, in bytes.
const logTail = 4 << 10

// process is one program that the test started. Only its own process ID is
// ever signaled.
type process struct {
	name string
	cmd  *exec.Cmd
	out  tail
	// done is closed when the process has ended and was waited for.
	done chan struct{}
}

// startProcess starts a program of the project and ends it with the test.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(filepath.Join(binaries, program), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start of %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("last output of %s:\n%s", name, p.out.String())
		}
	})
	return p
}

// signal sends a signal unless the process has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process at once and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// waitEnd waits for the process's own end and returns its exit code, or false
// after the bound.
func (p *process) waitEnd(bound time.Duration) (int, bool) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), true
	case <-time.After(bound):
		return 0, false
	}
}

// tail keeps the last output of a process.
type tail struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *tail) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buf.Write(b)
	if extra := l.buf.Len() - logTail; extra > 0 {
		l.buf.Next(extra)
	}
	return len(b), nil
}

// String returns the kept output.
func (l *tail) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// writeFile writes a file for a process into the test's directory.
func writeFile(t *testing.T, name string, content []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
