package report

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// line returns the log line of a request that ended at a second of the minute,
// after the prefix of a log collector.
func line(second int, fields string) string {
	return fmt.Sprintf(`collector 1 {"time":"2026-12-04T00:00:%02d.500Z","msg":"request done","host":"h1","service":"s","route":"r","took_ms":100,%s}`, second, fields)
}

const started = `{"time":"2026-12-04T00:00:00Z","msg":"daemon started","host":"h1","domain":"prai"}`

func read(t *testing.T, lines ...string) *Logs {
	t.Helper()
	l := &Logs{}
	assert.NilError(t, l.Read(strings.NewReader(strings.Join(lines, "\n"))))
	return l
}

func TestResults(t *testing.T) {
	for fields, want := range map[string]Result{
		`"outcome":"answered","status":200,"first_ms":50,"target_ms":50`:                               InTime,
		`"outcome":"answered","status":200,"first_ms":51,"target_ms":50`:                               LateFirst,
		`"outcome":"answered","status":200,"first_ms":51`:                                              InTime,
		`"outcome":"answered","status":200,"first_ms":5,"target_ms":50,"gap_ms":41,"gap_limit_ms":40`:  LateGap,
		`"outcome":"answered","status":200,"first_ms":51,"target_ms":50,"gap_ms":41,"gap_limit_ms":40`: LateFirst,
		`"outcome":"answered","status":500`:                                                            ServerError,
		`"outcome":"answered","status":404`:                                                            Rejected,
		`"outcome":"refused","status":401`:                                                             Rejected,
		`"outcome":"refused","status":503`:                                                             Refused,
		`"outcome":"unknown","status":502`:                                                             Unknown,
		`"outcome":"broken"`:                                                                           BrokenOff,
		`"outcome":"left"`:                                                                             CallerLeft,
	} {
		l := read(t, line(1, fields))
		assert.Equal(t, l.Requests[0].Result(), want, fields)
	}
}

func TestTablesCountEachRequestOnce(t *testing.T) {
	l := read(t, started, "not a log line", "{broken",
		line(1, `"outcome":"answered","status":200,"first_ms":10,"tokens_in":900,"missing_tokens":400,"backlog_tokens":100`),
		line(1, `"outcome":"answered","status":200,"first_ms":30,"tokens_in":5000,"missing_tokens":600,"backlog_tokens":300`),
		line(7, `"outcome":"broken","reason":"stream broke off after event 49: read tcp 1.2.3.4"`),
		line(7, `"outcome":"broken","reason":"stream broke off after event 7: read tcp 1.2.3.4"`),
		line(7, `"outcome":"refused","status":503,"reason":"busy","customer":"c"`),
	)
	assert.Equal(t, l.Skipped, 2)
	tables := map[string]Table{}
	for _, table := range l.Tables(5 * time.Second) {
		tables[table.Title] = table
	}
	names := func(title string) (all []string) {
		for _, row := range tables[title].Rows {
			all = append(all, fmt.Sprint(row.Name, ":", row.Requests))
		}
		return all
	}
	assert.DeepEqual(t, names("all"), []string{"all:5"})
	assert.DeepEqual(t, names("failure domain"), []string{"prai:5"})
	assert.DeepEqual(t, names("customer"), []string{":4", "c:1"})
	assert.DeepEqual(t, names("arrival"), []string{"00:00:00:2", "00:00:05:3"})
	assert.DeepEqual(t, names("prompt size"), []string{"from      0 tokens:1", "from   4000 tokens:1", "no prompt:3"})
	assert.DeepEqual(t, names("reason of the loss"), []string{"stream broke off after event N:2", "busy:1"})
	all := tables["all"].Rows[0]
	assert.Equal(t, all.Results[InTime], 2)
	assert.Equal(t, all.MissingTokens, int64(1000))
	assert.Equal(t, all.PromptTokens, int64(5900))
	assert.Equal(t, all.FirstByteMs(99), int64(30))
	var b strings.Builder
	table := tables["all"]
	assert.NilError(t, table.Write(&b))
	assert.Assert(t, strings.Contains(b.String(), "late between"), b.String())
}

func TestPlotIsWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fates.svg")
	assert.ErrorContains(t, (&Logs{}).Plot(path, time.Second), "no requests")
	assert.NilError(t, read(t, line(1, `"outcome":"left"`), line(9, `"outcome":"broken"`)).Plot(path, time.Second))
	drawn, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(drawn), "broken off"))
}

func TestMalformedFieldNamesItsLine(t *testing.T) {
	l := &Logs{}
	err := l.Read(strings.NewReader(started + "\n" + line(1, `"status":"x"`)))
	assert.ErrorContains(t, err, "line 2")
}
