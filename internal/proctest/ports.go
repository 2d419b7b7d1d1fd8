package proctest

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Listener ports are taken from below the system's ephemeral port range, so that
// no outgoing connection occupies a port before its process listens on it.
const (
	firstPort = 20_000
	portCount = 10_000
	// portStride is multiplied by the process ID to get the first port to try.
	// It is coprime to portCount, so that test programs that run at the same
	// time with neighbouring process IDs start far apart.
	portStride = 7_919
	// portLocksName is the file of a user, in the directory for temporary files, in which a test program locks the byte of
	// each port that it uses, until it ends.
	portLocksName = "jacinththread-test-ports-%d.lock"
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * portStride) }

// openPortLocks opens the file of locks. It stays open: closing it would release all locks of the test program.
var openPortLocks = sync.OnceValues(func() (*os.File, error) {
	return os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf(portLocksName, os.Getuid())), os.O_CREATE|os.O_RDWR, 0o600)
})

// FreeAddr returns a loopback address whose port has no listener and that no other test program has
// got. It returns no address a second time before it has tried all ports of the range.
func FreeAddr(t *testing.T) string {
	t.Helper()
	locks, err := openPortLocks()
	assert.NilError(t, err)
	for range portCount {
		port := firstPort + nextPort.Add(1)%portCount
		if !lockPort(locks, port) {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free loopback port in the range for tests")
	return ""
}

// lockPort locks a port. It returns false if another test program holds it.
func lockPort(locks *os.File, port int64) bool {
	lock := syscall.Flock_t{Type: syscall.F_WRLCK, Start: port, Len: 1}
	return syscall.FcntlFlock(locks.Fd(), syscall.F_SETLK, &lock) == nil
}
