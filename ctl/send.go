package ctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/ctl/client"
)

type sendCommand struct {
	runnable
	Model       string `long:"model" value-name:"NAME" description:"Model to ask; needs a prompt"`
	Class       string `long:"class" value-name:"NAME" description:"Service class; the customer's default without it"`
	DeadlineMs  int64  `long:"deadline-ms" value-name:"N" description:"Longest wait for the first token, in milliseconds"`
	Key         string `long:"idempotency-key" value-name:"KEY" description:"Key of a call that may not be repeated"`
	MaxTokens   int    `long:"max-tokens" value-name:"N" description:"Longest answer, in tokens"`
	Whole       bool   `long:"whole" description:"Ask for the answer as one document instead of a stream"`
	Service     string `long:"service" value-name:"NAME" description:"Plain service to call instead of a model"`
	Method      string `long:"method" value-name:"METHOD" default:"POST" description:"HTTP method for --service"`
	Path        string `long:"path" value-name:"PATH" default:"/" description:"Path within --service"`
	Body        string `long:"body" value-name:"TEXT" description:"Body for --service; @FILE reads a file, @- standard input"`
	ContentType string `long:"content-type" value-name:"TYPE" default:"application/json" description:"Type of the body for --service"`
	Args        struct {
		Prompt string `positional-arg-name:"PROMPT" description:"Prompt for --model"`
	} `positional-args:"yes"`
}

// sendResult is the output of send with --json.
type sendResult struct {
	client.Meta
	Text string `json:"text"`
	// FirstMs and TotalMs are the times to the first content chunk and to the
	// end of the response, in milliseconds.
	FirstMs float64 `json:"first_ms"`
	TotalMs float64 `json:"total_ms"`
	// Pieces is the number of content chunks of a streamed response.
	Pieces int `json:"pieces"`
}

func (c *sendCommand) run(ctx context.Context, a *app) error {
	if (c.Model == "") == (c.Service == "") {
		return &usageError{"exactly one of --model and --service is required"}
	}
	if (c.Model != "") == (c.Args.Prompt == "") {
		return &usageError{"a prompt is required with --model and not allowed with --service"}
	}
	token, err := a.token()
	if err != nil {
		return err
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	o := client.Options{Token: token, Class: c.Class, DeadlineMs: c.DeadlineMs, IdempotencyKey: c.Key}
	caller := client.NewCaller(a.http, a.directory(false))
	if c.Service != "" {
		return c.callService(ctx, a, caller, o)
	}
	return c.complete(ctx, a, caller, o)
}

// complete sends a prompt to a model and prints the response as it arrives.
func (c *sendCommand) complete(ctx context.Context, a *app, caller *client.Caller, o client.Options) error {
	q := client.Completion{
		Model:     c.Model,
		Messages:  []client.Message{{Role: "user", Content: c.Args.Prompt}},
		MaxTokens: c.MaxTokens,
		Stream:    !c.Whole,
	}
	var result sendResult
	var text strings.Builder
	begin := time.Now()
	meta, err := caller.Complete(ctx, q, o, func(chunk string) {
		if result.Pieces == 0 {
			result.FirstMs = milliseconds(time.Since(begin))
		}
		result.Pieces++
		text.WriteString(chunk)
		if !a.JSON {
			fmt.Fprint(a.Out, chunk)
		}
	})
	if err != nil {
		return c.printRequestID(a, meta, err)
	}
	result.Meta, result.Text, result.TotalMs = meta, text.String(), milliseconds(time.Since(begin))
	if a.JSON {
		return a.printJSON(result)
	}
	fmt.Fprintln(a.Out)
	return a.printMeta(result)
}

// callService calls a plain service and prints the response.
func (c *sendCommand) callService(ctx context.Context, a *app, caller *client.Caller, o client.Options) error {
	body, err := c.body(a)
	if err != nil {
		return err
	}
	if len(body) > 0 {
		o.ContentType = c.ContentType
	}
	path := "/services/" + c.Service + "/" + strings.TrimPrefix(c.Path, "/")
	begin := time.Now()
	data, meta, err := caller.CallService(ctx, c.Method, path, body, o)
	if err != nil {
		return c.printRequestID(a, meta, err)
	}
	result := sendResult{Meta: meta, Text: string(data), TotalMs: milliseconds(time.Since(begin))}
	if a.JSON {
		return a.printJSON(result)
	}
	fmt.Fprintln(a.Out, strings.TrimRight(result.Text, "\n"))
	return a.printMeta(result)
}

// body returns the request body that --body specifies.
func (c *sendCommand) body(a *app) ([]byte, error) {
	name, isFile := strings.CutPrefix(c.Body, "@")
	switch {
	case !isFile:
		return []byte(c.Body), nil
	case name == "-":
		data, err := io.ReadAll(a.In)
		return data, trace.Wrap(err)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return data, nil
}

// printRequestID prints the id of a failed request, so that it can be found in
// the daemon's logs, and returns err.
func (c *sendCommand) printRequestID(a *app, meta client.Meta, err error) error {
	if meta.RequestID != "" {
		fmt.Fprintf(a.Err, "request %s at %s\n", meta.RequestID, meta.Addr)
	}
	return err
}

// printMeta prints the metadata and times of a response on standard error, so
// that standard output holds only the response.
func (a *app) printMeta(r sendResult) error {
	var line bytes.Buffer
	fmt.Fprintf(&line, "\nrequest %s at %s: status %d, run %s, bundle %s", r.RequestID, r.Addr, r.Status, r.Run, r.Bundle)
	if r.Pieces > 0 {
		fmt.Fprintf(&line, ", first token after %.1f ms, %d pieces", r.FirstMs, r.Pieces)
	}
	fmt.Fprintf(&line, ", complete after %.1f ms\n", r.TotalMs)
	_, err := a.Err.Write(line.Bytes())
	return err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
