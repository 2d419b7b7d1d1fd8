package reach

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
	"github.com/jacinththread/jacinththread/upstream"
)

// slowTunnels opens tunnels after some time.
type slowTunnels struct{ after time.Duration }

func (s slowTunnels) Open(context.Context, backend.Instance) (net.Conn, string, error) {
	time.Sleep(s.after)
	a, _ := net.Pipe()
	return a, "daemon", nil
}

func (s slowTunnels) OpenThrough(ctx context.Context, _ string, server backend.Instance) (net.Conn, error) {
	c, _, err := s.Open(ctx, server)
	return c, err
}

func (slowTunnels) Usable(string) bool { return true }

func (slowTunnels) HasOthers() bool { return true }

// TestFirstConnectionThatOpensIsUsed checks direct connections that open late, beside tunnels.
func TestFirstConnectionThatOpensIsUsed(t *testing.T) {
	for name, c := range map[string]struct {
		direct, tunnel time.Duration
		via            string
		atMost         time.Duration
	}{
		"direct at once":           {time.Millisecond, time.Millisecond, "", 2 * time.Millisecond},
		"direct before a tunnel":   {tunnelDelay + 20*time.Millisecond, time.Second, "", tunnelDelay + 25*time.Millisecond},
		"tunnel before direct":     {500 * time.Millisecond, 10 * time.Millisecond, "daemon", tunnelDelay + 15*time.Millisecond},
		"tunnel after a failure":   {-1, 10 * time.Millisecond, "daemon", 15 * time.Millisecond},
		"tunnel, direct is silent": {time.Hour, 10 * time.Millisecond, "daemon", tunnelDelay + 15*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dial := func(ctx context.Context, _ string) (net.Conn, error) {
					if c.direct < 0 {
						return nil, errDial
					}
					select {
					case <-ctx.Done():
						return nil, ctx.Err()
					case <-time.After(c.direct):
					}
					a, _ := net.Pipe()
					return a, nil
				}
				connector := NewConnector(NewTable(log.New(io.Discard), metrics.NewRegistry()), dial, slowTunnels{c.tunnel})
				began := time.Now()
				link, err := connector.Connect(t.Context(), &backend.Server{ID: "server"}, upstream.Paths{Direct: true})
				assert.NilError(t, err)
				assert.Equal(t, link.Via, c.via)
				assert.Assert(t, time.Since(began) <= c.atMost, "after %v", time.Since(began))
				time.Sleep(2 * time.Second) // The other attempt ends.
			})
		})
	}
}

// It guards against a lost path that each request tries anew because requests end before the path has failed.
func TestPathThatIsSlowFailsAfterTheRequestHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		table := NewTable(log.New(io.Discard), metrics.NewRegistry())
		connector := NewConnector(table, silent, slowTunnels{time.Millisecond})
		s := &backend.Server{ID: "server"}
		ctx, cancel := context.WithCancel(t.Context())
		_, err := connector.Connect(ctx, s, upstream.Paths{Direct: true})
		assert.NilError(t, err)
		cancel() // The response was relayed.
		time.Sleep(2 * upstream.DialTimeout)
		assert.Assert(t, !table.UseDirect(s.Instance(), true, time.Now()))
	})
}

// It guards against callers that have left and whose requests still wait for a connection.
func TestCallerThatLeavesEndsTheWaitForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		connector := NewConnector(NewTable(log.New(io.Discard), metrics.NewRegistry()), silent, slowTunnels{time.Hour})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := connector.Connect(ctx, &backend.Server{ID: "server"}, upstream.Paths{Direct: true})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, time.Since(began) <= 50*time.Millisecond)
		time.Sleep(2 * time.Hour) // The attempts end.
	})
}
