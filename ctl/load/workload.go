// Package load sends an open-loop load to a deployment and reports attainment
// of latency targets by class, goodput and wasted work.
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
	maxDurationMs  = 24 * 60 * 60 * 1000
	maxRate        = 100_000
	maxTokens      = 1_000_000
	defaultDrainMs = 30_000
	defaultFlying  = 10_000
)

// Workload describes the load to send.
type Workload struct {
	// Seed makes the arrivals and lengths the same in every run.
	Seed uint64 `json:"seed"`
	// DurationMs is how long requests arrive, in milliseconds.
	DurationMs int `json:"duration_ms"`
	// DrainMs is how long the last requests may take after that, in
	// milliseconds.
	DrainMs int `json:"drain_ms"`
	// MaxInFlight bounds the open requests. Arrivals beyond it are counted as
	// not sent.
	MaxInFlight int `json:"max_in_flight"`
	// Model is asked by the streams that name no other.
	Model string `json:"model"`
	// Streams are the independent streams of requests.
	Streams []Stream `json:"streams"`
}

// Stream is a Poisson stream of requests of one class and customer.
type Stream struct {
	Class string `json:"class"`
	// Model is asked instead of the workload's; empty means that one.
	Model string `json:"model"`
	// TokenEnv names the environment variable with the customer's token; empty
	// means the token of the command line.
	TokenEnv string `json:"token_env"`
	// Rate is the mean number of requests a second.
	Rate float64 `json:"rate"`
	// PromptTokens and OutputTokens are the lengths of requests and answers.
	PromptTokens Lengths `json:"prompt_tokens"`
	OutputTokens Lengths `json:"output_tokens"`
	// FirstTokenMs and TokenGapMs are the targets that attainment is counted
	// against, in milliseconds: the time to the first token, and the mean time
	// between tokens. Zero means no target.
	FirstTokenMs int `json:"first_token_ms"`
	TokenGapMs   int `json:"token_gap_ms"`
	// DeadlineMs is sent with each request, in milliseconds; zero sends none.
	DeadlineMs int64 `json:"deadline_ms"`
}

// ModelOf returns the model that a stream asks.
func (w *Workload) ModelOf(s Stream) string { return cmp.Or(s.Model, w.Model) }

// Lengths is a log-normal distribution cut at Max.
type Lengths struct {
	Median int `json:"median"`
	// Sigma is the standard deviation of the logarithm; zero means that all
	// lengths are the median.
	Sigma float64 `json:"sigma"`
	Max   int     `json:"max"`
}

// ReadWorkload reads and checks a workload file.
func ReadWorkload(path string) (*Workload, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseWorkload(path, data)
}

// ParseWorkload reads and checks the content of a workload file. All faults
// are returned together in one *finding.Error.
func ParseWorkload(file string, data []byte) (*Workload, error) {
	w := &Workload{DrainMs: defaultDrainMs, MaxInFlight: defaultFlying}
	doc, findings := jsonc.Decode(file, data, w)
	c := checker{doc: doc}
	c.workload(w)
	if err := findings.Merge(c.findings).Err(); err != nil {
		return nil, err
	}
	return w, nil
}

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
	c.within("duration_ms", w.DurationMs, 1, maxDurationMs)
	c.within("drain_ms", w.DrainMs, 0, maxDurationMs)
	c.within("max_in_flight", w.MaxInFlight, 1, maxRate)
	c.require(len(w.Streams) > 0, "streams", "at least one stream is required")
	for i, s := range w.Streams {
		field := fmt.Sprintf("streams[%d]", i)
		c.require(s.Class != "", field+".class", "value is required")
		c.require(w.ModelOf(s) != "", field+".model", "neither the stream nor the workload names a model")
		c.require(s.Rate > 0 && s.Rate <= maxRate, field+".rate", "%g is not above 0 and at most %d", s.Rate, maxRate)
		c.lengths(field+".prompt_tokens", s.PromptTokens)
		c.lengths(field+".output_tokens", s.OutputTokens)
		c.within(field+".first_token_ms", s.FirstTokenMs, 0, maxDurationMs)
		c.within(field+".token_gap_ms", s.TokenGapMs, 0, maxDurationMs)
		c.require(s.DeadlineMs >= 0, field+".deadline_ms", "%d is negative", s.DeadlineMs)
	}
}

func (c *checker) lengths(field string, l Lengths) {
	c.within(field+".median", l.Median, 1, maxTokens)
	c.within(field+".max", l.Max, l.Median, maxTokens)
	c.require(l.Sigma >= 0 && l.Sigma <= 3, field+".sigma", "%g is not between 0 and 3", l.Sigma)
}

func (c *checker) within(field string, v, low, high int) {
	c.require(v >= low && v <= high, field, "%d is not between %d and %d", v, low, high)
}
