package ratelimit

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
)

// It guards against a limit that ends with the late response to a request from before the last
// statement.
func TestLateResponseDoesNotEndAConfirmedLimit(t *testing.T) {
	l := New("self", log.New(io.Discard), metrics.NewRegistry())
	server := backend.Instance{ID: "a"}
	now := l.epoch
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	l.Observe(server, Statement{Limited: true, PerSecond: 1, SentAt: at(0), HeardAt: at(1)})
	l.Observe(server, Statement{Limited: true, PerSecond: 1, SentAt: at(9), HeardAt: at(10)})
	l.Observe(server, Statement{SentAt: at(5), HeardAt: at(11)})
	assert.Assert(t, !l.Permitted(server, at(11)))
	l.Observe(server, Statement{SentAt: at(10.5), HeardAt: at(12)})
	assert.Assert(t, l.Permitted(server, at(12)))
}
