// Package report analyzes the log lines of entry daemons: it counts what callers
// got and why requests were lost.
package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Messages of the log lines that are evaluated.
const (
	requestDone   = "request done"
	daemonStarted = "daemon started"
)

// Request is the log line that a daemon writes at the end of a request.
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
	// Sends is the number of servers that the request was sent to, including those
	// that refused it.
	Sends int `json:"sends"`
	// Times are in milliseconds. FirstMs is zero without a response, GapMs is the
	// longest time between two relays of response bytes, and the targets are zero
	// if the route has none.
	TookMs      int64 `json:"took_ms"`
	FirstMs     int64 `json:"first_ms"`
	GapMs       int64 `json:"gap_ms"`
	TargetMs    int64 `json:"target_ms"`
	GapTargetMs int64 `json:"gap_limit_ms"`
	// TokensIn is the number of prompt tokens, Missing the number of those that
	// the server had not cached, and Backlog the number of tokens that the server
	// had to read before this prompt.
	TokensIn int64 `json:"tokens_in"`
	Missing  int64 `json:"missing_tokens"`
	Backlog  int64 `json:"backlog_tokens"`
	// Domain is the failure domain of the host. It is empty if the logs don't
	// contain the line of the daemon's start.
	Domain string `json:"-"`
}

// Arrived returns the time at which the request arrived.
func (r *Request) Arrived() time.Time {
	return r.Time.Add(-time.Duration(r.TookMs) * time.Millisecond)
}

// Logs holds the requests read from one or more logs.
type Logs struct {
	Requests []Request
	// Skipped is the number of lines that contain no JSON object.
	Skipped int

	// domains maps a host to its failure domain.
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

// add evaluates one line.
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

// assignDomains sets the failure domain of each request. It runs after all logs
// are read, since a request may come before the line with its host's domain.
func (l *Logs) assignDomains() {
	for i := range l.Requests {
		l.Requests[i].Domain = l.domains[l.Requests[i].Host]
	}
}
