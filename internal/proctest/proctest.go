// Package proctest runs the project's programs as processes for tests. It
// signals only processes that it started.
package proctest

import (
	"archive/tar"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jacinththread/jacinththread/internal/logtest"
)

// maxLogBytes limits how much of a process's last output a failed test prints.
const maxLogBytes = 4 << 10

// Build compiles the named programs, which are directories under cmd, into dir.
// The root is the path of the repository.
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

// HasCommit reports whether the history of the repository has a commit.
func HasCommit(root, commit string) bool {
	cmd := exec.Command("git", "cat-file", "-e", commit+"^{commit}")
	cmd.Dir = root
	return cmd.Run() == nil
}

// BuildCommit compiles the named programs as of a commit into dir.
func BuildCommit(root, dir, commit string, programs ...string) error {
	src := filepath.Join(dir, "src")
	if err := checkOut(root, src, commit); err != nil {
		return fmt.Errorf("sources of %s: %w", commit, err)
	}
	if err := Build(src, dir, programs...); err != nil {
		return fmt.Errorf("commit %s: %w", commit, err)
	}
	return os.RemoveAll(src)
}

// checkOut writes the files of a commit to dir.
func checkOut(root, dir, commit string) error {
	archive := exec.Command("git", "archive", "--format=tar", commit)
	archive.Dir = root
	out, err := archive.StdoutPipe()
	if err != nil {
		return err
	}
	if err := archive.Start(); err != nil {
		return err
	}
	if err := extract(out, dir); err != nil {
		_ = archive.Process.Kill()
		_ = archive.Wait()
		return err
	}
	return archive.Wait()
}

// extract writes the regular files of an archive to dir.
func extract(archive io.Reader, dir string) error {
	for r := tar.NewReader(archive); ; {
		h, err := r.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if h.Typeflag != tar.TypeReg {
			continue
		}
		if err := writeFile(filepath.Join(dir, filepath.FromSlash(h.Name)), r); err != nil {
			return err
		}
	}
}

func writeFile(path string, content io.Reader) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := io.Copy(f, content); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// Process is a program started by a test.
type Process struct {
	name string
	cmd  *exec.Cmd
	out  logtest.Buffer
	// done is closed after the process has exited and Wait has returned.
	done chan struct{}
}

// Start starts the program at the given path. The process is killed when the
// test ends; a failed test logs the end of its output.
func Start(t *testing.T, name, program string, args ...string) *Process {
	t.Helper()
	p := &Process{name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.out.MaxBytes = maxLogBytes
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

// Signal sends a signal to the process unless it has exited.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// Ended reports whether the process has exited.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// WaitEnd waits until the process exits and returns its exit code. It returns
// false if the process is still running after the timeout.
func (p *Process) WaitEnd(timeout time.Duration) (int, bool) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), true
	case <-time.After(timeout):
		return 0, false
	}
}
