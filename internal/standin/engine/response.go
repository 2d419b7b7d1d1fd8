package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// writeStream writes the response as server-sent events.
func (e *Engine) writeStream(ctx context.Context, w http.ResponseWriter, g *generation) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	err := e.generate(ctx, g, func(i int, token string) error {
		if _, err := fmt.Fprintf(w, "data: %s\n\n", g.chunk(i, token)); err != nil {
			return err
		}
		return flush.Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", g.lastChunk())
	e.markComplete(g)
}

// writeDocument writes the response as one JSON document.
func (e *Engine) writeDocument(ctx context.Context, w http.ResponseWriter, g *generation) {
	var text strings.Builder
	err := e.generate(ctx, g, func(_ int, token string) error {
		text.WriteString(token)
		return nil
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	choice := map[string]any{"index": 0, "finish_reason": "stop"}
	object := "text_completion"
	if g.chat {
		object = "chat.completion"
		choice["message"] = map[string]any{"role": "assistant", "content": text.String()}
	} else {
		choice["text"] = text.String()
	}
	e.markComplete(g)
	writeJSON(w, http.StatusOK, map[string]any{
		"id": g.id(), "object": object, "model": g.model,
		"choices": []any{choice}, "usage": g.usage(),
	})
}

func (g *generation) id() string { return fmt.Sprintf("cmpl-%x", g.seed) }

func (g *generation) usage() map[string]any {
	return map[string]any{"completion_tokens": g.total}
}

// chunk encodes one token.
func (g *generation) chunk(i int, token string) []byte {
	choice := map[string]any{"index": 0}
	if g.chat {
		choice["delta"] = map[string]any{"content": token}
	} else {
		choice["text"] = token
	}
	return g.encode(map[string]any{"offset": i, "choices": []any{choice}})
}

// lastChunk encodes the finish reason and the usage.
func (g *generation) lastChunk() []byte {
	choice := map[string]any{"index": 0, "finish_reason": "stop"}
	if g.chat {
		choice["delta"] = map[string]any{}
	}
	return g.encode(map[string]any{"offset": g.total, "choices": []any{choice}, "usage": g.usage()})
}

func (g *generation) encode(chunk map[string]any) []byte {
	chunk["id"] = g.id()
	chunk["model"] = g.model
	chunk["object"] = "text_completion"
	if g.chat {
		chunk["object"] = "chat.completion.chunk"
	}
	out, err := json.Marshal(chunk)
	if err != nil {
		panic(err)
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"code": code, "message": message}})
}
