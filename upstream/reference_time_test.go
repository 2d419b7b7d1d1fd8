package upstream

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/backend"
)

// slowConnector opens connections for questions slowly.
type slowConnector struct{ directConnector }

func (c slowConnector) ConnectSame(ctx context.Context, s *backend.Server, via string) (Link, error) {
	time.Sleep(200 * time.Millisecond)
	return c.directConnector.ConnectSame(ctx, s, via)
}

// It guards against requests that wait for a reference connection.
func TestRequestDoesNotWaitForAReferenceThatOpensSlowly(t *testing.T) {
	u := &soundServer{probeAnswer: namedAnswer}
	s, p := serve(t, u.serve), newPool()
	p.connector = slowConnector{}
	c, err := p.Connect(t.Context(), s, Use{MaxIdle: time.Hour})
	assert.NilError(t, err)
	p.untilClose[s.Service] = true
	began := time.Now()
	p.PrepareEnd(t.Context(), s, c)
	assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%v", time.Since(began))
}

// It guards against whole answers that are refused because they end shortly before the deadline.
func TestAnswerThatEndsShortlyBeforeTheDeadlineIsWhole(t *testing.T) {
	u := &soundServer{probeAnswer: namedAnswer}
	s, p := serve(t, u.serve), newPool()
	began := time.Now()
	liveness, err := readAnswer(t, p, s, "r", func(ctx context.Context) context.Context {
		began = time.Now()
		limited, cancel := context.WithTimeout(ctx, settleTime-10*time.Millisecond)
		context.AfterFunc(limited, cancel)
		return limited
	})
	assert.NilError(t, err)
	assert.Assert(t, liveness != NotShown)
	assert.Assert(t, time.Since(began) >= minSettleTime)
}
