package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/jsonc"
)

const (
	// prefixBlockBytes is the part of a prompt that decides its cache affinity.
	prefixBlockBytes = 1 << 10
	maxOutputTokens  = 1 << 20
)

// completion is a parsed completion request.
type completion struct {
	path   string
	fields map[string]json.RawMessage
	head   completionHead
	prefix uint64
	// resumable is set if the answer can be continued on another server.
	resumable bool
}

// completionHead is the part of a completion request that the router reads.
// Other fields pass through to the engine.
type completionHead struct {
	Model     string          `json:"model"`
	Messages  []message       `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens *int            `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	N         *int            `json:"n"`
	Tools     json.RawMessage `json:"tools"`
	Logprobs  json.RawMessage `json:"logprobs"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseCompletion reads a completion request. All its faults are reported
// together.
func parseCompletion(path string, body []byte) (*completion, error) {
	c := &completion{path: path}
	// The first parse finds unknown structure; the typed one finds faults.
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, invalidBody(syntaxFindings(body))
	}
	var found finding.List
	if err := json.Unmarshal(body, &c.head); err != nil {
		found = append(found, typeFindings(body)...)
		if len(found) == 0 {
			found = append(found, finding.Finding{Message: err.Error()})
		}
		return nil, invalidBody(found)
	}
	found = append(found, c.check()...)
	if len(found) > 0 {
		return nil, invalidBody(found)
	}
	c.prefix = c.promptPrefix()
	c.resumable = c.head.N == nil && len(c.head.Tools) == 0 && isAbsent(c.head.Logprobs)
	return c, nil
}

func invalidBody(found finding.List) *Error {
	return &Error{
		Status: http.StatusBadRequest, Code: "invalid_body",
		Message: "the request body is invalid", Findings: found,
	}
}

func syntaxFindings(body []byte) finding.List {
	var object map[string]any
	_, found := jsonc.Decode("", body, &object)
	if len(found) == 0 {
		found = finding.List{{Message: "the body is not a JSON object"}}
	}
	return found
}

func typeFindings(body []byte) finding.List {
	var head completionHead
	_, found := jsonc.Decode("", body, &head)
	// Fields the router does not know belong to the engine.
	var typed finding.List
	for _, f := range found {
		if _, known := headFields[f.Field]; known || bytes.ContainsAny([]byte(f.Field), "[.") {
			typed = append(typed, f)
		}
	}
	return typed
}

var headFields = map[string]struct{}{
	"model": {}, "messages": {}, "prompt": {}, "max_tokens": {}, "stream": {}, "n": {}, "tools": {}, "logprobs": {},
}

// check returns the faults of the values.
func (c *completion) check() finding.List {
	var found finding.List
	add := func(field, message string) {
		found = append(found, finding.Finding{Field: field, Message: message})
	}
	if c.head.Model == "" {
		add("model", "a model name is required")
	}
	if c.path == chatPath && len(c.head.Messages) == 0 {
		add("messages", "at least one message is required")
	}
	for i, m := range c.head.Messages {
		if m.Role == "" {
			add(fieldIndex("messages", i)+".role", "a role is required")
		}
	}
	if c.path == textPath && isAbsent(c.head.Prompt) {
		add("prompt", "a prompt is required")
	}
	if n := c.head.MaxTokens; n != nil && (*n < 1 || *n > maxOutputTokens) {
		add("max_tokens", "the value must be from 1 to 1048576")
	}
	if n := c.head.N; n != nil && *n < 1 {
		add("n", "the value must be at least 1")
	}
	return found
}

func isAbsent(raw json.RawMessage) bool {
	return len(raw) == 0 || string(raw) == "null" || string(raw) == "false"
}

// promptPrefix hashes the model and the first block of the prompt.
func (c *completion) promptPrefix() uint64 {
	prompt := c.fields["messages"]
	if c.path == textPath {
		prompt = c.fields["prompt"]
	}
	d := xxhash.New()
	// A Digest never fails to write.
	_, _ = d.WriteString(c.head.Model)
	_, _ = d.Write(prompt[:min(len(prompt), prefixBlockBytes)])
	return d.Sum64()
}

func (c *completion) maxTokens() int {
	if c.head.MaxTokens == nil {
		return 0
	}
	return *c.head.MaxTokens
}

// resumePoint is where a stream goes on at another server.
type resumePoint struct {
	// Offset is the index of the next token.
	Offset int `json:"offset"`
	// Text is the answer up to the offset.
	Text string `json:"text"`
}

// encode returns the body for an engine. A point at offset zero starts anew.
func (c *completion) encode(class *bundle.Class, stream bool, from resumePoint) ([]byte, error) {
	fields := make(map[string]any, len(c.fields)+3)
	for k, v := range c.fields {
		fields[k] = v
	}
	fields["stream"] = stream
	fields["priority"] = class.Tier
	delete(fields, "resume")
	if from.Offset > 0 {
		fields["resume"] = from
	}
	return json.Marshal(fields)
}
