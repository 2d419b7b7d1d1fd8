package test

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEcho starts a TCP server on a loopback address that echoes lines.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewReader(c)
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						return
					}
					_, _ = c.Write([]byte(line))
				}
			}()
		}
	}()
	return l.Addr().String()
}

func TestRelaySilencesOpenConnectionsOnly(t *testing.T) {
	r := startRelay(t, startEcho(t))
	echo := func(c net.Conn) error {
		_, err := c.Write([]byte("hello\n"))
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		_, err = bufio.NewReader(c).ReadString('\n')
		return err
	}
	open, err := net.Dial("tcp", r.addr())
	assert.NilError(t, err)
	defer open.Close()
	assert.NilError(t, echo(open))
	assert.Equal(t, r.silence(), 1)
	var timeout net.Error
	assert.Assert(t, errors.As(echo(open), &timeout) && timeout.Timeout())
	fresh, err := net.Dial("tcp", r.addr())
	assert.NilError(t, err)
	defer fresh.Close()
	assert.NilError(t, echo(fresh))
}
