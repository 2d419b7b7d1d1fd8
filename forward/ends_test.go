package forward

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// awaitLine returns the first line that contains a text.
func (l *lockedBuffer) awaitLine(t *testing.T, text string) string {
	t.Helper()
	for range 200 {
		l.mu.Lock()
		lines := strings.Split(l.b.String(), "\n")
		l.mu.Unlock()
		for _, line := range lines {
			if strings.Contains(line, text) {
				return line
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no line contains %q", text)
	return ""
}

func TestLogTellsHowAnAnswerEnded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: $ID\r\nSeal: s\r\n"
	for framing, c := range map[string]struct{ answer, end string }{
		"length":     {"Content-Length: 2\r\n\r\nab", "conn_end=open end_evidence=framing"},
		"chunks":     {"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "conn_end=open end_evidence=framing"},
		"connection": {"\r\nab", "conn_end=closed end_evidence=identity"},
	} {
		var lines lockedBuffer
		d := newDeployment(t, onceRoute)
		d.log = log.New(&lines)
		d.addServer("a", respondsWith(head+c.answer))
		d.start()
		assert.NilError(t, d.send("GET", "/once/", "r1").err)
		line := lines.awaitLine(t, "request done")
		assert.Assert(t, strings.Contains(line, fmt.Sprintf("framing=%s %s", framing, c.end)), line)
	}
}
