package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/jacinththread/jacinththread/dispatch"
	"github.com/jacinththread/jacinththread/internal/standin/engine"
	"github.com/jacinththread/jacinththread/internal/standin/plain"
	"github.com/jacinththread/jacinththread/store/storetest"
)

const streamedChat = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`

var streamedText = engine.Text("m", `[{"role":"user","content":"hi"}]`, 8)

// textOf returns the text of a streamed response and whether it has the terminal
// marker.
func textOf(t *testing.T, body string) (string, bool) {
	t.Helper()
	var text strings.Builder
	done := false
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case data == "[DONE]":
			done = true
		case ok:
			var c dispatch.Chunk
			assert.NilError(t, json.Unmarshal([]byte(data), &c))
			text.WriteString(c.Text())
		}
	}
	return text.String(), done
}

func TestStreamedChatThroughAnotherDaemonsScheduler(t *testing.T) {
	h := newHarness(t, "engine-1", "engine-2")
	a := h.chat(streamedChat)
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.header.Get(HeaderRun), "ran")
	assert.Equal(t, a.header.Get(HeaderBundle), "7")
	text, done := textOf(t, a.body)
	assert.Assert(t, done)
	assert.Equal(t, text, streamedText)
}

func TestUnstreamedChatIsCollectedFromAStream(t *testing.T) {
	h := newHarness(t, "engine-1")
	a := h.chat(strings.Replace(streamedChat, `"stream":true,`, "", 1))
	assert.Equal(t, a.status, http.StatusOK)
	var doc completionResponse
	assert.NilError(t, json.Unmarshal([]byte(a.body), &doc))
	assert.Equal(t, doc.Choices[0].Message.Content, streamedText)
}

func TestInterruptedStreamIsResumedAtTheNextToken(t *testing.T) {
	h := newHarness(t, "engine-1", "engine-2")
	for _, e := range h.engines {
		e.SetFaults(engine.Faults{CutAfter: 5})
	}
	a := h.chat(streamedChat)
	text, done := textOf(t, a.body)
	assert.Assert(t, done)
	assert.Equal(t, text, streamedText)
	runs := append(h.engines["engine-1"].Runs(), h.engines["engine-2"].Runs()...)
	assert.Equal(t, len(runs), 2)
	assert.Equal(t, runs[0].Offset+runs[1].Offset, 5)
}

func TestStreamThatCannotBeResumedHasNoTerminalMarker(t *testing.T) {
	h := newHarness(t, "engine-1")
	h.engines["engine-1"].SetFaults(engine.Faults{CutAfter: 5})
	a := h.chat(streamedChat)
	assert.Assert(t, a.err != nil, "the connection ends early")
	assert.Assert(t, !strings.Contains(a.body, "[DONE]"))
	assert.Assert(t, cmp.Contains(a.body, `"run":"ran"`))
}

func TestDrainingEngineIsReportedAndReplaced(t *testing.T) {
	h := newHarness(t, "engine-1", "engine-2")
	h.engines["engine-1"].SetFaults(engine.Faults{Draining: true})
	for range 4 {
		assert.Equal(t, h.chat(streamedChat).status, http.StatusOK)
	}
	assert.Equal(t, len(h.engines["engine-1"].Runs()), 0)
	assert.Equal(t, len(h.engines["engine-2"].Runs()), 4)
	assert.DeepEqual(t, h.view.reported, []string{"engine-1"})
}

func TestInvalidRequestsAreRejectedWithTheirPosition(t *testing.T) {
	h := newHarness(t, "engine-1")
	cases := []struct {
		name, body string
		header     []string
		status     int
		wants      []string
	}{
		{"syntax", `{"model":`, nil, 400, []string{"invalid_body", `"line":1`}},
		{"not an object", `[]`, nil, 400, []string{"invalid_body"}},
		{"types", "{\"model\":3,\n\"messages\":{},\"x\":1}", nil, 400, []string{`"field":"model"`, `"field":"messages"`, `"line":2`}},
		{"values", `{"messages":[{"content":"x"}],"max_tokens":0}`, nil, 400, []string{`"field":"model"`, `"field":"messages[0].role"`, `"field":"max_tokens"`}},
		{"model", strings.Replace(streamedChat, `"m"`, `"other"`, 1), nil, 400, []string{"unknown_model"}},
		{"class", streamedChat, []string{HeaderClass, "gold"}, 400, []string{"unknown_class"}},
		{"class of others", streamedChat, []string{"Authorization", "Bearer token-south", HeaderClass, "counter"}, 400, []string{"unknown_class"}},
		{"deadline", streamedChat, []string{HeaderDeadline, "soon"}, 400, []string{"bad_deadline"}},
		{"token", streamedChat, []string{"Authorization", "Bearer nobody"}, 401, []string{"unauthorized"}},
		{"size", strings.Repeat(" ", 1<<16) + streamedChat, nil, 413, []string{"body_too_large"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := h.chat(c.body, c.header...)
			assert.Equal(t, a.status, c.status, a.body)
			assert.Equal(t, a.header.Get(HeaderRun), "not-run")
			for _, want := range c.wants {
				assert.Assert(t, cmp.Contains(a.body, want))
			}
		})
	}
	assert.Equal(t, len(h.engines["engine-1"].Runs()), 0)
}

func TestCallWithOneKeyRunsOnce(t *testing.T) {
	h := newHarness(t)
	first := h.call(http.MethodPost, "/services/ledger/postings", "fee=10", HeaderIdempotency, "k1")
	assert.Equal(t, first.status, http.StatusOK)
	second := h.call(http.MethodPost, "/services/ledger/postings", "fee=10", HeaderIdempotency, "k1")
	assert.Equal(t, second.status, http.StatusOK)
	assert.Equal(t, second.body, first.body)
	assert.Equal(t, second.header.Get(HeaderRun), "ran")
	other := h.call(http.MethodPost, "/services/ledger/postings", "fee=20", HeaderIdempotency, "k1")
	assert.Equal(t, other.status, http.StatusUnprocessableEntity)
	assert.Equal(t, len(h.ledger.Runs()), 1)
}

func TestCallWithoutKeyIsRejected(t *testing.T) {
	h := newHarness(t)
	a := h.call(http.MethodPost, "/services/ledger/postings", "fee=10")
	assert.Equal(t, a.status, http.StatusBadRequest)
	assert.Assert(t, cmp.Contains(a.body, "missing_key"))
	assert.Equal(t, len(h.ledger.Runs()), 0)
}

func TestCallWithLostResponseIsNotRunAgain(t *testing.T) {
	h := newHarness(t)
	h.ledger.SetFaults(plain.Faults{DropResponses: true})
	first := h.call(http.MethodPost, "/services/ledger/postings", "fee=10", HeaderIdempotency, "k1")
	assert.Equal(t, first.header.Get(HeaderRun), "unknown")
	h.ledger.SetFaults(plain.Faults{})
	second := h.call(http.MethodPost, "/services/ledger/postings", "fee=10", HeaderIdempotency, "k1")
	assert.Equal(t, second.header.Get(HeaderRun), "unknown")
	assert.Equal(t, len(h.ledger.Runs()), 1)
}

// If the store is unavailable when a call is repeated, the response must not report
// the call as not run, because an earlier attempt with the same key may have run.
func TestRepeatDuringStoreOutageIsNotToldNotRun(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.call(http.MethodPost, "/services/ledger/postings", "fee=10", HeaderIdempotency, "k1").status, http.StatusOK)
	h.store.SetDown(true)
	a := h.call(http.MethodPost, "/services/ledger/postings", "fee=10", HeaderIdempotency, "k1")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.header.Get(HeaderRun), "unknown")
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, h.chat(streamedChat).header.Get(HeaderRun), "not-run", "no engine in this harness")
}

func TestCallRunsOnceIfTheStoreResponseIsLost(t *testing.T) {
	h := newHarness(t)
	h.store.FailNext(storetest.OpCreate, 1, storetest.ReplyLost)
	a := h.call(http.MethodPost, "/services/ledger/postings", "fee=10", HeaderIdempotency, "k1")
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, len(h.ledger.Runs()), 1)
}

func TestSafeMethodsNeedNoKey(t *testing.T) {
	h := newHarness(t)
	a := h.call(http.MethodGet, "/services/ledger/status?id=4", "")
	assert.Equal(t, a.status, http.StatusOK)
	assert.Assert(t, cmp.Contains(a.body, `"/status"`))
}

// Idempotency keys are scoped to a customer, also at backend servers that
// deduplicate by key.
func TestIdempotencyKeysAreScopedToACustomer(t *testing.T) {
	h := newHarness(t)
	first := h.call(http.MethodPost, "/services/ledger/postings", "fee=10", HeaderIdempotency, "k1")
	assert.Equal(t, first.status, http.StatusOK)
	second := h.call(http.MethodPost, "/services/ledger/postings", "fee=10", HeaderIdempotency, "k1",
		"Authorization", "Bearer token-south")
	assert.Equal(t, second.status, http.StatusOK)
	runs := h.ledger.Runs()
	assert.Equal(t, len(runs), 2)
	assert.Assert(t, runs[0].Key != runs[1].Key)
}
