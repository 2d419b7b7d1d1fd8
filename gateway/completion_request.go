package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinththread/jacinththread/bundle"
	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/jsonc"
)

const (
	// affinityPrefixBytes is the length of the prompt prefix that is hashed for
	// prefix cache affinity.
	affinityPrefixBytes = 1 << 10
	maxOutputTokens     = 1 << 20
)

// completion is a parsed completion request.
type completion struct {
	path       string
	fields     map[string]json.RawMessage
	params     completionParams
	prefixHash uint64
	// resumable is set if another server can continue the response. The router
	// tracks only the text of one choice, so a request with n, tools or logprobs
	// is not resumable.
	resumable bool
}

// completionParams holds the fields of a completion request that the router reads.
// Other fields are passed through to the engine.
type completionParams struct {
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

// parseCompletion parses and validates the body of a completion request. Faults of
// one kind (syntax, types or values) are reported together.
func parseCompletion(path string, body []byte) (*completion, error) {
	c := &completion{path: path}
	// The first pass keeps all fields for the engine; the second one reads and
	// checks those in completionParams.
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, invalidBody(syntaxFindings(body))
	}
	var found finding.List
	if err := json.Unmarshal(body, &c.params); err != nil {
		found = append(found, typeFindings(body)...)
		if len(found) == 0 {
			found = append(found, finding.Finding{Message: err.Error()})
		}
		return nil, invalidBody(found)
	}
	found = append(found, c.validate()...)
	if len(found) > 0 {
		return nil, invalidBody(found)
	}
	c.prefixHash = c.hashPromptPrefix()
	c.resumable = c.params.N == nil && len(c.params.Tools) == 0 && isAbsent(c.params.Logprobs)
	return c, nil
}

func invalidBody(found finding.List) *Error {
	return &Error{
		Status: http.StatusBadRequest, Code: "invalid_body",
		Message: "the request body is invalid", Findings: found,
	}
}

// syntaxFindings returns the syntax errors of a body and their positions.
func syntaxFindings(body []byte) finding.List {
	var object map[string]any
	_, found := jsonc.Decode("", body, &object)
	if len(found) == 0 {
		found = finding.List{{Message: "the body is not a JSON object"}}
	}
	return found
}

// typeFindings returns the fields of completionParams that have a wrong type, and
// their positions.
func typeFindings(body []byte) finding.List {
	var params completionParams
	_, found := jsonc.Decode("", body, &params)
	// Decode also reports unknown fields; those are for the engine to check.
	var typed finding.List
	for _, f := range found {
		if _, known := paramFields[f.Field]; known || bytes.ContainsAny([]byte(f.Field), "[.") {
			typed = append(typed, f)
		}
	}
	return typed
}

// paramFields holds the JSON names of the fields of completionParams.
var paramFields = map[string]struct{}{
	"model": {}, "messages": {}, "prompt": {}, "max_tokens": {}, "stream": {}, "n": {}, "tools": {}, "logprobs": {},
}

// validate returns the fields that are missing or out of range.
func (c *completion) validate() finding.List {
	var found finding.List
	add := func(field, message string) {
		found = append(found, finding.Finding{Field: field, Message: message})
	}
	if c.params.Model == "" {
		add("model", "a model name is required")
	}
	if c.path == chatPath && len(c.params.Messages) == 0 {
		add("messages", "at least one message is required")
	}
	for i, m := range c.params.Messages {
		if m.Role == "" {
			add(indexedField("messages", i)+".role", "a role is required")
		}
	}
	if c.path == textPath && isAbsent(c.params.Prompt) {
		add("prompt", "a prompt is required")
	}
	if n := c.params.MaxTokens; n != nil && (*n < 1 || *n > maxOutputTokens) {
		add("max_tokens", "the value must be from 1 to 1048576")
	}
	if n := c.params.N; n != nil && *n < 1 {
		add("n", "the value must be at least 1")
	}
	return found
}

// indexedField returns the path of an element of an array field in a finding.
func indexedField(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

// isAbsent reports whether an optional field is missing, null or false.
func isAbsent(raw json.RawMessage) bool {
	return len(raw) == 0 || string(raw) == "null" || string(raw) == "false"
}

// hashPromptPrefix hashes the model and the first affinityPrefixBytes of the
// prompt.
func (c *completion) hashPromptPrefix() uint64 {
	prompt := c.fields["messages"]
	if c.path == textPath {
		prompt = c.fields["prompt"]
	}
	d := xxhash.New()
	// Writing to a Digest never fails.
	_, _ = d.WriteString(c.params.Model)
	_, _ = d.Write(prompt[:min(len(prompt), affinityPrefixBytes)])
	return d.Sum64()
}

// maxTokens returns the caller's limit of output tokens, or 0 if there is none.
func (c *completion) maxTokens() int {
	if c.params.MaxTokens == nil {
		return 0
	}
	return *c.params.MaxTokens
}

// resumePoint is the position at which another server continues a stream.
type resumePoint struct {
	// Offset is the index of the next token.
	Offset int `json:"offset"`
	// Text is the output before the offset.
	Text string `json:"text"`
}

// encode returns the request body for an engine. If the offset is zero, the engine
// generates the response from the start.
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
