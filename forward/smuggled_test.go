package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// It guards against requests that run although they are the body of another one, whose length has a blank before the colon.
func TestBodyBehindABlankInTheLengthDoesNotRunAsARequest(t *testing.T) {
	d := newDeployment(t, onceRoute)
	d.addServer("a", serves)
	d.start()
	const inner = "POST /once/ HTTP/1.1\r\nHost: h\r\nId: smuggled\r\nKey: key\r\nContent-Length: 0\r\n\r\n"
	c, err := net.Dial("tcp", d.ingress.Addr())
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: outer\r\nKey: key\r\nContent-Length : %d\r\n\r\n%s", len(inner), inner)
	c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	io.Copy(io.Discard, bufio.NewReader(c))
	assert.Equal(t, len(d.runsOf("smuggled")), 0)
	assert.Equal(t, len(d.runsOf("outer")), 0)
}

// It guards against fields that are the system's to set, and keys, that reach a server because a blank before the colon hides
// them here.
func TestNamesWithBlanksAreNotPassedOn(t *testing.T) {
	d := newDeployment(t, onceRoute)
	seen := make(chan string, 10)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	d.put(testServer("a", l))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				n, _ := c.Read(buf)
				seen <- string(buf[:n])
				io.WriteString(c, okResponse("outer", "answer"))
			}()
		}
	}()
	d.start()
	c, err := net.Dial("tcp", d.ingress.Addr())
	assert.NilError(t, err)
	defer c.Close()
	io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: outer\r\nKey: key\r\nCustomer : other\r\nKey : key\r\nContent-Length: 4\r\n\r\nbody")
	select {
	case got := <-seen:
		t.Fatalf("passed on: %q", got)
	case <-time.After(300 * time.Millisecond):
	}
}
