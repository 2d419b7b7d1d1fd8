package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jacinththread/jacinththread/membership"
)

// retryDeposits is the number of first attempts that earn the retries of one stream.
const retryDeposits = 20

// words is the text of a stream, one token a word.
var words = strings.Fields("zero one two three four five six seven")

// chunkPlan is what an engine does to one chunk of an attempt, and where it ends its connection.
type chunkPlan struct {
	// spoiling is a key of chunkSpoilings or empty, spoiled the index of the chunk that it applies to.
	spoiling string
	spoiled  int
	// cutAfter is the number of chunks after which the connection ends, or -1.
	cutAfter int
	// perChunk is the number of tokens in a chunk. Without offsets, only the first chunk of a resumed stream has one.
	perChunk int
	offsets  bool
}

// chunkSpoilings are the ways in which an engine spoils an event.
var chunkSpoilings = map[string]func(chunk map[string]any, by int) string{
	"offset":          func(c map[string]any, by int) string { c["offset"] = by; return chunkEvent(c) },
	"no offset":       func(c map[string]any, _ int) string { delete(c, "offset"); return chunkEvent(c) },
	"count of tokens": func(c map[string]any, by int) string { c["tokens"] = by; return chunkEvent(c) },
	"negative count":  func(c map[string]any, by int) string { c["tokens"] = -by; return chunkEvent(c) },
	"JSON":            func(map[string]any, int) string { return "data: {\"offset\":\n\n" },
	"name":            func(c map[string]any, _ int) string { return strings.Replace(chunkEvent(c), "data", "d\x00ta", 1) },
	"split": func(c map[string]any, _ int) string {
		return strings.Replace(chunkEvent(c), `"choices"`, "\n\n\"choices\"", 1)
	},
}

func chunkEvent(chunk map[string]any) string {
	data, _ := json.Marshal(chunk)
	return fmt.Sprintf("data: %s\n\n", data)
}

// spoilingEngine serves the attempts at one stream as planned, later ones soundly. It goes on after the text that a
// resume names, and states the token at which it goes on by that text.
type spoilingEngine struct {
	mu    sync.Mutex
	plans []chunkPlan
}

func (e *spoilingEngine) next() chunkPlan {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.plans) == 0 {
		return chunkPlan{cutAfter: -1, perChunk: 1, offsets: true}
	}
	first := e.plans[0]
	e.plans = e.plans[1:]
	return first
}

func (e *spoilingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req struct{ Resume resumePoint }
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	plan, begin := e.next(), len(strings.Fields(req.Resume.Text))
	w.Header().Set("Content-Type", "text/event-stream")
	for n, i := begin, 0; n < len(words); i++ {
		if i == plan.cutAfter {
			panic(http.ErrAbortHandler)
		}
		last := min(n+plan.perChunk, len(words))
		text := strings.Join(words[n:last], " ") + " "
		chunk := map[string]any{"tokens": last - n, "choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": text}}}}
		if plan.offsets || n == begin && begin > 0 {
			chunk["offset"] = n
		}
		out := chunkEvent(chunk)
		if spoil, ok := chunkSpoilings[plan.spoiling]; ok && i == plan.spoiled {
			out = spoil(chunk, plan.perChunk+plan.spoiled+2)
		}
		fmt.Fprint(w, out)
		n = last
	}
	if plan.cutAfter >= 0 {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// It guards against completions that end with tokens missing or twice after an engine spoiled any chunk of any attempt.
func TestStreamWithSpoiledChunksIsWholeOrBrokenOff(t *testing.T) {
	resumed := int64(0)
	whole := strings.Join(words, " ") + " "
	names := []string{"", "offset", "no offset", "count of tokens", "negative count", "JSON", "name", "split"}
	assert.Equal(t, len(names), 1+len(chunkSpoilings))
	rapid.Check(t, func(rt *rapid.T) {
		engine := &spoilingEngine{}
		for range rapid.IntRange(1, 2).Draw(rt, "attempts") {
			engine.plans = append(engine.plans, chunkPlan{
				spoiling: rapid.SampledFrom(names).Draw(rt, "spoiling"), spoiled: rapid.IntRange(0, 5).Draw(rt, "spoiled"),
				cutAfter: rapid.IntRange(-2, 5).Draw(rt, "cut"), perChunk: rapid.IntRange(1, 3).Draw(rt, "per chunk"),
				offsets: rapid.Bool().Draw(rt, "offsets"),
			})
		}
		h := newHarness(t)
		var servers []membership.Server
		for i := range 3 {
			s := httptest.NewServer(engine)
			t.Cleanup(s.Close)
			servers = append(servers, membership.Server{Name: fmt.Sprint("engine-", i), Service: "llm", Addr: s.Listener.Addr().String()})
		}
		h.view.setServers(servers)
		for range retryDeposits {
			h.gateway.retryBudgets.deposit(h.gateway.cfg.Bundles.Current().Class("counter"))
		}
		body := streamedChat
		if rapid.Bool().Draw(rt, "collected") {
			body = strings.Replace(body, `"stream":true,`, "", 1)
		}
		a := h.chat(body)
		http.DefaultClient.CloseIdleConnections()
		resumed += h.gateway.metrics.resumed.Count()
		if a.status != http.StatusOK || a.err != nil {
			return
		}
		text, done := completionText(t, a.body)
		if done && text != whole {
			rt.Fatalf("complete stream has %q", text)
		}
	})
	assert.Assert(t, resumed > 0, "no stream was resumed")
}

// completionText returns the text of a streamed or collected completion and whether it is complete.
func completionText(t *testing.T, body string) (string, bool) {
	var doc completionResponse
	if json.Unmarshal([]byte(body), &doc) == nil && len(doc.Choices) == 1 {
		return doc.Choices[0].Message.Content, true
	}
	return textOf(t, body)
}
