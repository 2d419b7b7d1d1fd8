package daemon

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// tableRows returns the cells of those table rows of a page that start with a
// code span.
func tableRows(t *testing.T, page string, columns int) [][]string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("../docs/operations", page))
	assert.NilError(t, err)
	var rows [][]string
	for line := range strings.Lines(string(data)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		assert.Equal(t, len(cells), columns, line)
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
			assert.Assert(t, cells[i] != "", line)
		}
		cells[0] = strings.Trim(cells[0], "`")
		rows = append(rows, cells)
	}
	return rows
}

// metricType derives the type of a metric from the fields of its JSON form.
func metricType(values map[string]any) string {
	has := func(key string) bool { _, ok := values[key]; return ok }
	switch {
	case has("value"):
		return "gauge"
	case has("1m.rate"):
		return "timer"
	case has("99%"):
		return "histogram"
	}
	return "counter"
}

// placeholder matches the part of a documented metric name that stands for a
// name from the bundle or from a fixed set.
var placeholder = regexp.MustCompile(`<[a-z]+>`)

// rowPattern returns a pattern for the metric names that a row documents.
func rowPattern(name string) *regexp.Regexp {
	parts := placeholder.Split(name, -1)
	for i := range parts {
		parts[i] = regexp.QuoteMeta(parts[i])
	}
	return regexp.MustCompile("^" + strings.Join(parts, "[a-z0-9_-]+") + "$")
}

func TestMetricsPageListsEveryMetricWithItsType(t *testing.T) {
	d := newDeployment(t)
	d.start(1)
	d.rollFirstBundle()
	d.daemons[0].chat(d, "count this", 3)
	registered := d.daemons[0].metrics(d)
	packages := packageNames(t)
	nameRule := regexp.MustCompile(`^([a-z]+)(\.[a-z0-9_-]+)+$`)
	rows := tableRows(t, "metrics.md", 5)
	used := map[string]int{}
	for name, values := range registered {
		parts := nameRule.FindStringSubmatch(name)
		if assert.Check(t, parts != nil, "%s is not dotted and lower case", name) {
			assert.Check(t, slices.Contains(packages, parts[1]), "%s does not start with a package", name)
		}
		i := slices.IndexFunc(rows, func(row []string) bool { return rowPattern(row[0]).MatchString(name) })
		if assert.Check(t, i >= 0, "%s is not on the page", name) {
			used[rows[i][0]]++
			assert.Check(t, rows[i][1] == metricType(values), "%s is a %s", name, metricType(values))
		}
	}
	for _, row := range rows {
		assert.Check(t, used[row[0]] > 0, "%s is on the page but is not registered", row[0])
	}
}

// packageNames returns the names of the top-level packages.
func packageNames(t *testing.T) []string {
	t.Helper()
	entries, err := os.ReadDir("..")
	assert.NilError(t, err)
	var names []string
	for _, e := range entries {
		if e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names
}

// logEvent is a log call in the source.
type logEvent struct {
	message, level string
	fields         []string
}

// row formats the event like a row of the logs page.
func (e logEvent) row() string {
	return fmt.Sprintf("%s|%s|%s", e.message, e.level, strings.Join(e.fields, ", "))
}

func TestLogsPageListsEveryEventWithLevelAndFields(t *testing.T) {
	var logged []string
	for _, e := range logEvents(t) {
		logged = append(logged, e.row())
		fields := slices.Clone(e.fields)
		slices.Sort(fields)
		assert.Check(t, len(slices.Compact(fields)) == len(e.fields), "%s has a duplicate field", e.message)
		assert.Check(t, !slices.Contains(e.fields, "host"), "%s sets the field host, which every entry has", e.message)
	}
	var documented []string
	for _, row := range tableRows(t, "logs.md", 4) {
		fields := strings.ReplaceAll(row[2], "`", "")
		if fields == "none" {
			fields = ""
		}
		documented = append(documented, fmt.Sprintf("%s|%s|%s", row[0], row[1], fields))
	}
	slices.Sort(logged)
	slices.Sort(documented)
	assert.DeepEqual(t, documented, slices.Compact(logged))
}

// logEvents returns the log calls in the sources of the daemon.
func logEvents(t *testing.T) []logEvent {
	t.Helper()
	var events []logEvent
	err := filepath.WalkDir("..", func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if e.IsDir() && slices.Contains([]string{"test", "internal", "ctl", ".git"}, e.Name()) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		found, err := fileLogEvents(path)
		events = append(events, found...)
		return err
	})
	assert.NilError(t, err)
	return events
}

var logLevels = []string{"Debug", "Info", "Warn", "Error", "Fatal", "Print"}

// fileLogEvents returns the log calls in one file. A message or a field key that
// is not a string literal is an error.
func fileLogEvents(path string) ([]logEvent, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		return nil, err
	}
	var events []logEvent
	var failed error
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		f, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains(logLevels, f.Sel.Name) || !isLogger(f.X) {
			return true
		}
		event, err := parseLogCall(f.Sel.Name, call.Args)
		if err != nil {
			failed = fmt.Errorf("%s: %w", files.Position(call.Pos()), err)
		}
		events = append(events, event)
		return true
	})
	return events, failed
}

// isLogger reports whether the name of a variable or field is that of a logger.
func isLogger(x ast.Expr) bool {
	name := ""
	switch x := x.(type) {
	case *ast.Ident:
		name = x.Name
	case *ast.SelectorExpr:
		name = x.Sel.Name
	}
	return strings.EqualFold(name, "log") || strings.EqualFold(name, "logger")
}

// parseLogCall returns the log call with the given level and arguments.
func parseLogCall(level string, args []ast.Expr) (logEvent, error) {
	event := logEvent{level: strings.ToLower(level)}
	if len(args)%2 != 1 {
		return event, fmt.Errorf("log call does not consist of a message and pairs of field and value")
	}
	var err error
	if event.message, err = literal(args[0]); err != nil {
		return event, err
	}
	for i := 1; i < len(args); i += 2 {
		field, err := literal(args[i])
		if err != nil {
			return event, err
		}
		event.fields = append(event.fields, field)
	}
	return event, nil
}

func literal(x ast.Expr) (string, error) {
	basic, ok := x.(*ast.BasicLit)
	if !ok {
		return "", fmt.Errorf("message or field is not a string literal")
	}
	return strconv.Unquote(basic.Value)
}

func TestTokensAndPromptsAreNeitherLoggedNorTraced(t *testing.T) {
	const prompt, idempotencyKey, wrongToken = "applicant-4711-confidential", "fee-key-4711", "unknown-token-4711"
	d := newDeployment(t)
	d.start(2)
	d.rollFirstBundle()
	daemon := d.daemons[0]
	response := daemon.chat(d, prompt, 5)
	send := func(path, body string, header ...string) {
		res, err := daemon.post(d, path, body, header...)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
	}
	send("/services/ledger/"+prompt, prompt, "Idempotency-Key", idempotencyKey)
	send("/services/ledger/fees", prompt, "Idempotency-Key", idempotencyKey) // Same key, different body.
	send(chatPath, chatBody(prompt, 1), "Authorization", "Bearer "+wrongToken)
	send(chatPath, `{"model": "`+prompt+`"`, "Jacinththread-Class", "counter")
	send(chatPath, strings.Replace(chatBody(prompt, 1), "demo-model", prompt, 1))
	operators := "http://" + daemon.settings.Listen.Operators + "/v1/bundle/proposals/" + "none"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, operators, nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+wrongToken)
	res, err := d.http.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, res.Body.Close())

	spans := fmt.Sprintf("%+v", d.spans.GetSpans())
	logs := d.logs.String()
	assert.Assert(t, strings.Contains(spans, "dispatch") && strings.Contains(logs, "request failed"))
	for _, secret := range []string{prompt, idempotencyKey, wrongToken, customerToken, testKey, strings.TrimSpace(response)} {
		assert.Check(t, !strings.Contains(logs, secret), "the log holds %q", secret)
		assert.Check(t, !strings.Contains(spans, secret), "the spans hold %q", secret)
	}
}

// relativeLink matches the target of a link to another page.
var relativeLink = regexp.MustCompile(`\]\(([^):#]+)(#[^)]*)?\)`)

func TestLinksBetweenPagesResolve(t *testing.T) {
	pages, err := filepath.Glob("../docs/operations/*.md")
	assert.NilError(t, err)
	assert.Assert(t, len(pages) > 0)
	for _, page := range pages {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, link := range relativeLink.FindAllStringSubmatch(string(data), -1) {
			target, err := os.ReadFile(filepath.Join(filepath.Dir(page), link[1]))
			assert.Check(t, err, "%s links to missing page %s", filepath.Base(page), link[1])
			assert.Check(t, link[2] == "" || slices.Contains(anchors(string(target)), link[2]), "%s links to missing heading %s", filepath.Base(page), link[0])
		}
	}
}

// anchors returns the anchors of a page's headings.
func anchors(page string) []string {
	var out []string
	for line := range strings.Lines(page) {
		if text, ok := strings.CutPrefix(strings.TrimLeft(line, "#"), " "); ok && line[0] == '#' {
			out = append(out, "#"+strings.ReplaceAll(strings.ToLower(strings.TrimSpace(text)), " ", "-"))
		}
	}
	return out
}

// errorCode matches the error codes of responses in the source of the gateway.
var errorCode = regexp.MustCompile(`(?:Code: |\.Code, e\.Message = |badRequest\()"([a-z_]+)"`)

func TestAnswersPageListsEveryCode(t *testing.T) {
	files, err := filepath.Glob("../gateway/*.go")
	assert.NilError(t, err)
	var codes []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, m := range errorCode.FindAllStringSubmatch(string(data), -1) {
			codes = append(codes, m[1])
		}
	}
	var documented []string
	for _, row := range tableRows(t, "answers.md", 4) {
		documented = append(documented, row[0])
	}
	slices.Sort(codes)
	slices.Sort(documented)
	assert.DeepEqual(t, documented, slices.Compact(codes))
}
