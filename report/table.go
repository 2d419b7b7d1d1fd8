package report

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Row counts the requests of one group.
type Row struct {
	// Name is the value of the grouping's key.
	Name     string
	Requests int
	// Results counts the requests by Result.
	Results [resultCount]int
	// PromptTokens is the number of prompt tokens that callers sent, and
	// MissingTokens the number of those that servers had not cached.
	MissingTokens, PromptTokens int64
	backlog                     int64
	first                       *hdrhistogram.Histogram
}

// Upper limit and precision of the histogram of times to the first byte.
const (
	maxFirstByteMs  = 10 * 60 * 1000
	firstByteDigits = 3
)

func newRow(name string) *Row {
	return &Row{Name: name, first: hdrhistogram.New(1, maxFirstByteMs, firstByteDigits)}
}

func (row *Row) add(r *Request) {
	row.Requests++
	row.Results[r.Result()]++
	row.MissingTokens += r.Missing
	row.PromptTokens += r.TokensIn
	row.backlog += r.Backlog
	if r.FirstMs > 0 {
		// Times above the histogram's limit count as the limit.
		_ = row.first.RecordValue(min(r.FirstMs, maxFirstByteMs))
	}
}

// MarshalJSON implements json.Marshaler.
func (row *Row) MarshalJSON() ([]byte, error) {
	byName := map[string]int{}
	for r, n := range row.Results {
		byName[Result(r).String()] = n
	}
	return json.Marshal(struct {
		Name          string         `json:"name"`
		Asked         int            `json:"asked"`
		Fates         map[string]int `json:"fates"`
		FirstP50Ms    int64          `json:"first_p50_ms"`
		FirstP99Ms    int64          `json:"first_p99_ms"`
		TokensRead    int64          `json:"tokens_read"`
		TokensOffered int64          `json:"tokens_offered"`
		BacklogTokens int64          `json:"backlog_tokens"`
	}{row.Name, row.Requests, byName, row.FirstByteMs(50), row.FirstByteMs(99), row.MissingTokens, row.PromptTokens, row.Backlog()})
}

// FirstByteMs returns a percentile, from 0 to 100, of the times to the first
// byte, in milliseconds.
func (row *Row) FirstByteMs(percentile float64) int64 { return row.first.ValueAtQuantile(percentile) }

// Backlog returns the mean backlog of the requests' servers, in tokens.
func (row *Row) Backlog() int64 { return row.backlog / int64(max(1, row.Requests)) }

// Table holds the rows of one way of grouping requests.
type Table struct {
	Title string `json:"title"`
	Rows  []*Row `json:"rows"`
}

// grouping assigns requests to groups by a key. Rows are sorted by name or, with
// byCount, by number of requests.
type grouping struct {
	title   string
	key     func(*Request) string
	byCount bool
}

// promptSizeBounds are the lower bounds of the ranges of prompt sizes, in tokens.
var promptSizeBounds = []int64{0, 1000, 4000, 16000, 64000}

// promptSizeRange returns the name of the range that a request's prompt is in.
func promptSizeRange(r *Request) string {
	if r.TokensIn == 0 {
		return "no prompt"
	}
	i := len(promptSizeBounds) - 1
	for r.TokensIn < promptSizeBounds[i] {
		i--
	}
	return fmt.Sprintf("from %6d tokens", promptSizeBounds[i])
}

var digits = regexp.MustCompile(`[0-9]+`)

// lossReason returns why a request was lost, or "" if the response was complete.
// Addresses and numbers are removed, so that equal causes form one group.
func lossReason(r *Request) string {
	if res := r.Result(); res == InTime || res == LateFirst || res == LateGap {
		return ""
	}
	if r.Reason == "" {
		return fmt.Sprintf("status %d", r.Status)
	}
	reason, _, _ := strings.Cut(r.Reason, ": read tcp")
	return digits.ReplaceAllString(reason, "N")
}

// maxReasonRows is the maximum number of rows of the table of reasons.
const maxReasonRows = 20

// Tables returns one table for each grouping. The interval is the length of the
// rows of the table by arrival.
func (l *Logs) Tables(interval time.Duration) []Table {
	l.assignDomains()
	groupings := []grouping{
		{title: "service and route", key: func(r *Request) string { return r.Service + " " + r.Route }},
		{title: "prompt size", key: promptSizeRange},
		{title: "failure domain", key: func(r *Request) string { return r.Domain }},
		{title: "host", key: func(r *Request) string { return r.Host }},
		{title: "customer", key: func(r *Request) string { return r.Customer }},
		{title: "arrival", key: func(r *Request) string { return r.Arrived().UTC().Truncate(interval).Format(time.TimeOnly) }},
		{title: "reason of the loss", key: lossReason, byCount: true},
	}
	tables := []Table{l.group(grouping{title: "all", key: func(*Request) string { return "all" }})}
	for _, g := range groupings {
		tables = append(tables, l.group(g))
	}
	return tables
}

// group counts the requests by key. With byCount, requests with an empty key are
// left out and the number of rows is limited.
func (l *Logs) group(g grouping) Table {
	rows := map[string]*Row{}
	for i := range l.Requests {
		key := g.key(&l.Requests[i])
		if key == "" && g.byCount {
			continue
		}
		if rows[key] == nil {
			rows[key] = newRow(key)
		}
		rows[key].add(&l.Requests[i])
	}
	t := Table{Title: g.title}
	for _, row := range rows {
		t.Rows = append(t.Rows, row)
	}
	slices.SortFunc(t.Rows, func(a, b *Row) int {
		if g.byCount && a.Requests != b.Requests {
			return b.Requests - a.Requests
		}
		return strings.Compare(a.Name, b.Name)
	})
	if g.byCount {
		t.Rows = t.Rows[:min(len(t.Rows), maxReasonRows)]
	}
	return t
}

// Write writes the table as text in aligned columns.
func (t *Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%s\tasked\t%s\tfirst p50\tp99 ms\tread\tof tokens\tbacklog\n", t.Title, strings.Join(resultNames[:], "\t"))
	for _, row := range t.Rows {
		fmt.Fprintf(tw, "%s\t%d", orDash(row.Name), row.Requests)
		for _, n := range row.Results {
			fmt.Fprintf(tw, "\t%d", n)
		}
		fmt.Fprintf(tw, "\t%d\t%d\t%d\t%d\t%d\n", row.FirstByteMs(50), row.FirstByteMs(99), row.MissingTokens, row.PromptTokens, row.Backlog())
	}
	return tw.Flush()
}

func orDash(s string) string {
	if strings.TrimSpace(s) == "" {
		return "-"
	}
	return s
}
