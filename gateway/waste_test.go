package gateway

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/dispatch"
	"github.com/jacinththread/jacinththread/internal/standin/engine"
)

// A caller that goes away in the middle of a stream ends the work at the engine
// at once.
func TestCallerThatLeavesCancelsTheEngine(t *testing.T) {
	h := newHarness(t, "engine-1")
	gap := 20
	h.engines["engine-1"].SetFaults(engine.Faults{TokenGapMs: &gap})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	body := `{"model":"m","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"hi"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+chatPath, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer token-north")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	assert.NilError(t, err)
	cancel()
	await(func() bool { return h.reservations.InFlight() == 0 })
	before := h.engines["engine-1"].Runs()[0].Sent
	assert.Assert(t, before < 100000)
	assert.Assert(t, !h.engines["engine-1"].Runs()[0].Complete)
}

// A connection that falls silent in the middle of a stream is given up, and the
// stream goes on at another server.
func TestSilentStreamIsResumedElsewhere(t *testing.T) {
	h := newHarness(t, "engine-1", "engine-2")
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{HangAfter: 5})
	}
	a := h.chat(streamed)
	text, done := textOf(t, a.body)
	assert.Assert(t, done)
	assert.Equal(t, text, streamedText)
}

// goneSink is a caller that stops reading after some events.
type goneSink struct{ left int }

func (s *goneSink) event(dispatch.Event) error {
	s.left--
	if s.left < 0 {
		return errors.New("write timed out")
	}
	return nil
}

func (s *goneSink) end() error   { return nil }
func (s *goneSink) abort(*Error) {}

// A caller that does not read its answer in time must not make another server
// run the rest of it.
func TestCallerThatDoesNotReadIsNotServedElsewhere(t *testing.T) {
	h := newHarness(t, "engine-1", "engine-2")
	httpReq, err := http.NewRequest(http.MethodPost, chatPath, strings.NewReader(streamed))
	assert.NilError(t, err)
	req := h.gateway.newRequest(httpReq)
	req.active = testBundle()
	req.customer, req.class = req.active.Customer("north"), req.active.Class("counter")
	c, err := parseCompletion(chatPath, []byte(streamed))
	assert.NilError(t, err)
	d := &delivery{gateway: h.gateway, req: req, completion: c, pool: req.active.Pool("llm"), out: &goneSink{left: 3}}
	assert.ErrorIs(t, d.run(context.Background()), errCallerGone)
	assert.Equal(t, len(h.engines["engine-1"].Runs())+len(h.engines["engine-2"].Runs()), 1)
	assert.Equal(t, h.reservations.InFlight(), 0)
}
