package proctest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
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
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * portStride) }

// FreeAddr returns a loopback address whose port has no listener. It returns no
// address a second time before it has tried all ports of the range.
func FreeAddr(t *testing.T) string {
	t.Helper()
	for range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free loopback port in the range for tests")
	return ""
}
