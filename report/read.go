// Package report tells from the log lines of entry daemons what callers got and
// where the rest was lost.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Messages of the log lines that are read.
const (
	requestDone   = "request done"
	daemonStarted = "daemon started"
)

// Request is what a daemon logged of a request when it was done.
type Request struct {
	Time     time.Time `json:"time"`
	Host     string    `json:"host"`
	ID       string    `json:"request_id"`
	Route    string    `json:"route"`
	Service  string    `json:"service"`
	Customer string    `json:"customer"`
	Server   string    `json:"server"`
	Outcome  string    `json:"outcome"`
	Reason   string    `json:"reason"`
	Status   int       `json:"status"`
	// Sends counts the servers that were handed the request.
	Sends int `json:"sends"`
	// Times are in milliseconds. FirstMs is zero without an answer; the targets
	// are zero if the route has none.
	TookMs      int64 `json:"took_ms"`
	FirstMs     int64 `json:"first_ms"`
	GapMs       int64 `json:"gap_ms"`
	TargetMs    int64 `json:"target_ms"`
	GapTargetMs int64 `json:"gap_limit_ms"`
	// TokensIn is the size of the prompt, Missing the part of it that the server
	// did not hold, and Backlog what the server had to read before.
	TokensIn int64 `json:"tokens_in"`
	Missing  int64 `json:"missing_tokens"`
	Backlog  int64 `json:"backlog_tokens"`
	// Domain is the failure domain of the host, if its start was logged.
	Domain string `json:"-"`
}

// Arrived is when the request came.
func (r *Request) Arrived() time.Time {
	return r.Time.Add(-time.Duration(r.TookMs) * time.Millisecond)
}

// Logs are the requests of one or more logs.
type Logs struct {
	Requests []Request
	// Skipped counts lines that are no log lines.
	Skipped int

	domains map[string]string
}

// Read adds the lines of a log. Text before a line's opening brace, such as the
// prefix of a log collector, is skipped.
func (l *Logs) Read(r io.Reader) error {
	if l.domains == nil {
		l.domains = map[string]string{}
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if err := l.add(lines.Bytes()); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
	return lines.Err()
}

// add takes one line.
func (l *Logs) add(line []byte) error {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		l.Skipped++
		return nil
	}
	line = line[start:]
	var head struct {
		Message string `json:"msg"`
		Host    string `json:"host"`
		Domain  string `json:"domain"`
	}
	if err := json.Unmarshal(line, &head); err != nil {
		l.Skipped++
		return nil
	}
	switch head.Message {
	case daemonStarted:
		l.domains[head.Host] = head.Domain
	case requestDone:
		var r Request
		if err := json.Unmarshal(line, &r); err != nil {
			return err
		}
		l.Requests = append(l.Requests, r)
	}
	return nil
}

// assignDomains gives each request the failure domain of its host.
func (l *Logs) assignDomains() {
	for i := range l.Requests {
		l.Requests[i].Domain = l.domains[l.Requests[i].Host]
	}
}
