package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/claims"
	"github.com/jacinththread/jacinththread/membership"
	"github.com/jacinththread/jacinththread/reservation"
)

// If a daemon is paused for longer than claims are kept, its claim may have expired
// and another attempt may own the call. The daemon must not dispatch the call after
// it continues.
func TestCallIsNotStartedAfterItsClaimMayHaveExpired(t *testing.T) {
	server := membership.Server{Name: "ledger-1", Service: "ledger"}
	g := &Gateway{cfg: Config{View: &fakeView{servers: []membership.Server{server}}}}
	c := &atMostOnceCall{gateway: g, attempt: claims.Attempt{DispatchBy: time.Now().Add(time.Hour)}}
	slot := &reservation.Slot{Server: server}
	assert.NilError(t, c.checkStart(context.Background(), slot))
	c.attempt.DispatchBy = time.Now().Add(-time.Second)
	assert.Assert(t, errors.Is(c.checkStart(context.Background(), slot), errStartDeadline))
}

// A plain service may respond with 503 after the call had an effect. The response to
// the caller must not report the call as not run.
func TestUnavailablePlainServiceLeavesRunStateUnknown(t *testing.T) {
	h := newHarness(t)
	var ran atomic.Int64
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"code":"overloaded"}}`)
	}))
	t.Cleanup(busy.Close)
	h.view.mu.Lock()
	h.view.servers[0].Addr = busy.Listener.Addr().String()
	h.view.mu.Unlock()
	got := h.call(http.MethodGet, "/services/ledger/balance", "")
	assert.Assert(t, ran.Load() > 0)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.header.Get(HeaderRun), string(Unknown))
}
