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

// Row counts the requests that have something in common.
type Row struct {
	Name  string
	Asked int
	Fates [fates]int
	// Missing is the number of prompt tokens that servers did not hold, Offered
	// the number that callers sent.
	Missing, Offered int64
	backlog          int64
	first            *hdrhistogram.Histogram
}

// Bounds and precision of the histogram of times to the first byte.
const (
	firstMostMs = 10 * 60 * 1000
	firstDigits = 3
)

func newRow(name string) *Row {
	return &Row{Name: name, first: hdrhistogram.New(1, firstMostMs, firstDigits)}
}

func (row *Row) add(r *Request) {
	row.Asked++
	row.Fates[r.Fate()]++
	row.Missing += r.Missing
	row.Offered += r.TokensIn
	row.backlog += r.Backlog
	if r.FirstMs > 0 {
		// Longer times count as the longest.
		_ = row.first.RecordValue(min(r.FirstMs, firstMostMs))
	}
}

// MarshalJSON implements json.Marshaler.
func (row *Row) MarshalJSON() ([]byte, error) {
	byName := map[string]int{}
	for f, n := range row.Fates {
		byName[Fate(f).String()] = n
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
	}{row.Name, row.Asked, byName, row.First(50), row.First(99), row.Missing, row.Offered, row.Backlog()})
}

// First returns a quantile, from 0 to 100, of the times to the first byte in
// milliseconds.
func (row *Row) First(quantile float64) int64 { return row.first.ValueAtQuantile(quantile) }

// Backlog is the mean backlog, in tokens, of the servers that were chosen.
func (row *Row) Backlog() int64 { return row.backlog / int64(max(1, row.Asked)) }

// Table groups requests.
type Table struct {
	Title string `json:"title"`
	Rows  []*Row `json:"rows"`
}

// grouping is a way to group requests. Rows are sorted by name unless byCount
// is set.
type grouping struct {
	title   string
	key     func(*Request) string
	byCount bool
}

// sizes are the bounds of prompt sizes, in tokens.
var sizes = []int64{0, 1000, 4000, 16000, 64000}

func sizeOf(r *Request) string {
	if r.TokensIn == 0 {
		return "no prompt"
	}
	i := len(sizes) - 1
	for r.TokensIn < sizes[i] {
		i--
	}
	return fmt.Sprintf("from %6d tokens", sizes[i])
}

var digits = regexp.MustCompile(`[0-9]+`)

// lossReason is the reason of a request that was lost, without addresses and
// figures, or "" for one that was answered.
func lossReason(r *Request) string {
	if f := r.Fate(); f == InTime || f == LateFirst || f == LateBetween {
		return ""
	}
	if r.Reason == "" {
		return fmt.Sprintf("status %d", r.Status)
	}
	reason, _, _ := strings.Cut(r.Reason, ": read tcp")
	return digits.ReplaceAllString(reason, "N")
}

// mostReasons bounds the rows of the table of reasons.
const mostReasons = 20

// Tables groups the requests in each way. The interval is that of the table by
// time.
func (l *Logs) Tables(interval time.Duration) []Table {
	l.assignDomains()
	groupings := []grouping{
		{title: "service and route", key: func(r *Request) string { return r.Service + " " + r.Route }},
		{title: "prompt size", key: sizeOf},
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

// group counts the requests by key. An empty key of the table of reasons means
// that the request does not belong there.
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
		if g.byCount && a.Asked != b.Asked {
			return b.Asked - a.Asked
		}
		return strings.Compare(a.Name, b.Name)
	})
	if g.byCount {
		t.Rows = t.Rows[:min(len(t.Rows), mostReasons)]
	}
	return t
}

// Write prints the table in aligned columns.
func (t *Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%s\tasked\t%s\tfirst p50\tp99 ms\tread\tof tokens\tbacklog\n", t.Title, strings.Join(fateNames[:], "\t"))
	for _, row := range t.Rows {
		fmt.Fprintf(tw, "%s\t%d", orDash(row.Name), row.Asked)
		for _, n := range row.Fates {
			fmt.Fprintf(tw, "\t%d", n)
		}
		fmt.Fprintf(tw, "\t%d\t%d\t%d\t%d\t%d\n", row.First(50), row.First(99), row.Missing, row.Offered, row.Backlog())
	}
	return tw.Flush()
}

func orDash(s string) string {
	if strings.TrimSpace(s) == "" {
		return "-"
	}
	return s
}
