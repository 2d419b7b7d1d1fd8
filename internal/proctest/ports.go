package proctest

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// Ports for listeners are below those that the system gives out, so that no
// connection takes one before its process listens.
const (
	firstPort = 20_000
	portRange = 10_000
	// portSpread keeps apart the ports of test programs that run at the same
	// time and have neighbouring process IDs. It shares no factor with portRange.
	portSpread = 7_919
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * portSpread) }

// FreeAddr returns a loopback address that nobody listens on now. It returns
// none twice until all have been tried.
func FreeAddr(t *testing.T) string {
	t.Helper()
	for range portRange {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portRange))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no loopback port is free")
	return ""
}
