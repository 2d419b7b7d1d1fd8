// Package load generates an open-loop load on a deployment and reports, by
// service class, the attainment of latency targets, goodput and wasted work.
package load

import (
	"cmp"
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/finding"
	"github.com/jacinththread/jacinththread/jsonc"
)

const (
	maxDurationMs      = 24 * 60 * 60 * 1000
	maxRate            = 100_000
	maxTokens          = 1_000_000
	defaultDrainMs     = 30_000
	defaultMaxInFlight = 10_000
)

// Workload describes the load to send.
type Workload struct {
	// Seed makes the arrivals and lengths the same in every run.
	Seed uint64 `json:"seed"`
	// DurationMs is the period in which requests arrive, in milliseconds.
	DurationMs int `json:"duration_ms"`
	// DrainMs is how long requests may continue after that period, in
	// milliseconds. Those still running are then canceled.
	DrainMs int `json:"drain_ms"`
	// MaxInFlight limits the concurrent requests. Arrivals beyond it are counted
	// as not sent.
	MaxInFlight int `json:"max_in_flight"`
	// Model is the default model of the streams.
	Model   string   `json:"model"`
	Streams []Stream `json:"streams"`
}

// Stream is a Poisson stream of requests of one class and customer.
type Stream struct {
	Class string `json:"class"`
	// Model is the model to request; empty means the model of the workload.
	Model string `json:"model"`
	// TokenEnv names the environment variable that holds the customer's token;
	// empty means the token given on the command line.
	TokenEnv string `json:"token_env"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// PromptTokens is the length of the prompts, and OutputTokens the limit on
	// the length of the responses.
	PromptTokens Lengths `json:"prompt_tokens"`
	OutputTokens Lengths `json:"output_tokens"`
	// FirstTokenMs and TokenGapMs are the latency targets for attainment, in
	// milliseconds: the time to the first token and the mean time between
	// tokens. Zero means no target.
	FirstTokenMs int `json:"first_token_ms"`
	TokenGapMs   int `json:"token_gap_ms"`
	// DeadlineMs is the deadline sent with each request, in milliseconds; zero
	// means that none is sent.
	DeadlineMs int64 `json:"deadline_ms"`
}

// ModelOf returns the model that a stream requests.
func (w *Workload) ModelOf(s Stream) string { return cmp.Or(s.Model, w.Model) }

// Lengths is a log-normal distribution of lengths in tokens, limited to Max.
type Lengths struct {
	Median int `json:"median"`
	// Sigma is the standard deviation of the logarithm; zero means that every
	// length equals the median.
	Sigma float64 `json:"sigma"`
	Max   int     `json:"max"`
}

// ReadWorkload reads and validates a workload file.
func ReadWorkload(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseWorkload(path, data)
}

// ParseWorkload parses and validates the content of a workload file. All errors
// are returned together in one *finding.Error.
func ParseWorkload(file string, data []byte) (*Workload, error) {
	w := &Workload{DrainMs: defaultDrainMs, MaxInFlight: defaultMaxInFlight}
	doc, findings := jsonc.Decode(file, data, w)
	c := checker{doc: doc}
	c.workload(w)
	if err := findings.Merge(c.findings).Err(); err != nil {
		return nil, err
	}
	return w, nil
}

// checker validates a workload and collects the findings.
type checker struct {
	doc      *jsonc.Document
	findings finding.List
}

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.findings = append(c.findings, c.doc.Finding(field, format, args...))
	}
}

func (c *checker) workload(w *Workload) {
	c.inRange("duration_ms", w.DurationMs, 1, maxDurationMs)
	c.inRange("drain_ms", w.DrainMs, 0, maxDurationMs)
	c.inRange("max_in_flight", w.MaxInFlight, 1, maxRate)
	c.require(len(w.Streams) > 0, "streams", "at least one stream is required")
	for i, s := range w.Streams {
		field := fmt.Sprintf("streams[%d]", i)
		c.require(s.Class != "", field+".class", "value is required")
		c.require(w.ModelOf(s) != "", field+".model", "neither the stream nor the workload names a model")
		c.require(s.Rate > 0 && s.Rate <= maxRate, field+".rate", "%g is not above 0 and at most %d", s.Rate, maxRate)
		c.lengths(field+".prompt_tokens", s.PromptTokens)
		c.lengths(field+".output_tokens", s.OutputTokens)
		c.inRange(field+".first_token_ms", s.FirstTokenMs, 0, maxDurationMs)
		c.inRange(field+".token_gap_ms", s.TokenGapMs, 0, maxDurationMs)
		c.require(s.DeadlineMs >= 0, field+".deadline_ms", "%d is negative", s.DeadlineMs)
	}
}

func (c *checker) lengths(field string, l Lengths) {
	c.inRange(field+".median", l.Median, 1, maxTokens)
	c.inRange(field+".max", l.Max, l.Median, maxTokens)
	c.require(l.Sigma >= 0 && l.Sigma <= 3, field+".sigma", "%g is not between 0 and 3", l.Sigma)
}

func (c *checker) inRange(field string, v, low, high int) {
	c.require(v >= low && v <= high, field, "%d is not between %d and %d", v, low, high)
}
