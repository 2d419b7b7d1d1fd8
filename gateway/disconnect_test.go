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

// If a caller disconnects in the middle of a stream, the engine must stop
// generating immediately.
func TestDisconnectedCallerCancelsTheEngine(t *testing.T) {
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
	waitFor(func() bool { return h.reservations.InFlight() == 0 })
	before := h.engines["engine-1"].Runs()[0].Sent
	assert.Assert(t, before < 100000)
	assert.Assert(t, !h.engines["engine-1"].Runs()[0].Complete)
}

// If a connection delivers no data in the middle of a stream, the gateway must
// close it and resume the stream on another server.
func TestStalledStreamIsResumedOnAnotherServer(t *testing.T) {
	h := newHarness(t, "engine-1", "engine-2")
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{HangAfter: 5})
	}
	a := h.chat(streamedChat)
	text, done := textOf(t, a.body)
	assert.Assert(t, done)
	assert.Equal(t, text, streamedText)
}

// stalledSink is a sink whose caller stops reading after a number of events.
type stalledSink struct{ left int }

func (s *stalledSink) event(dispatch.Event) error {
	s.left--
	if s.left < 0 {
		return errors.New("write timed out")
	}
	return nil
}

func (s *stalledSink) end() error   { return nil }
func (s *stalledSink) abort(*Error) {}

// If a caller does not read the response in time, the attempt fails on the caller's
// side. The gateway must not resume it on another server.
func TestCallerThatDoesNotReadIsNotServedElsewhere(t *testing.T) {
	h := newHarness(t, "engine-1", "engine-2")
	httpReq, err := http.NewRequest(http.MethodPost, chatPath, strings.NewReader(streamedChat))
	assert.NilError(t, err)
	req := h.gateway.newRequest(httpReq)
	req.active = testBundle()
	req.customer, req.class = req.active.Customer("north"), req.active.Class("counter")
	c, err := parseCompletion(chatPath, []byte(streamedChat))
	assert.NilError(t, err)
	r := &completionRun{gateway: h.gateway, req: req, completion: c, pool: req.active.Pool("llm"), out: &stalledSink{left: 3}}
	assert.ErrorIs(t, r.run(context.Background()), errCallerDisconnected)
	assert.Equal(t, len(h.engines["engine-1"].Runs())+len(h.engines["engine-2"].Runs()), 1)
	assert.Equal(t, h.reservations.InFlight(), 0)
}
