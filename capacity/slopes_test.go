package capacity

import (
	"fmt"
	"os"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

func TestSlopes(t *testing.T) {
	path := os.Getenv(outputPathEnv)
	if path == "" {
		t.Skipf("%s is not set", outputPathEnv)
	}
	r := &recorder{}
	t.Run("members", func(t *testing.T) { measureMembers(t, r) })
	t.Run("servers", func(t *testing.T) { measureServers(t, r) })
	t.Run("links", func(t *testing.T) { measureLinks(t, r) })
	t.Run("bundle", func(t *testing.T) { measureBundle(t, r) })
	t.Run("messages", func(t *testing.T) { measureMessages(t, r) })
	t.Run("requests", func(t *testing.T) { measureRequests(t, r) })
	t.Run("entries", func(t *testing.T) { measureEntries(t, r) })
	out, err := os.Create(path)
	assert.NilError(t, err)
	defer out.Close()
	_, err = fmt.Fprintf(out, "# Measured slopes\n\nWritten by `make capacity`; do not edit. Measured with %s on %s/%s, %d processors (load average %s), one size varied at a time. Each line is fitted by least squares: value = base + slope x size.\n\n",
		runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), loadAverage())
	assert.NilError(t, err)
	assert.NilError(t, WriteTable(out, r.series))
}
