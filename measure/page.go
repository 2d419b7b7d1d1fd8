package measure

import (
	_ "embed"
	"fmt"
	"slices"
	"strings"
	"time"
)

//go:embed method.md
var methodText string

//go:embed remarks.md
var remarksText string

// platformText holds figures that this package does not compute: they come from
// another benchmark.
//
//go:embed platform.md
var platformText string

// resultSet holds the results of many runs.
type resultSet struct {
	results []result
}

// filter returns the results of a workload, scenario and policy, sorted by seed.
func (s *resultSet) filter(w *workload, scenario, policy string) []result {
	var found []result
	for _, r := range s.results {
		if r.workload == w.name && r.scenario == scenario && r.policy == policy {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b result) int { return int(a.seed) - int(b.seed) })
	return found
}

// metric returns one value of a result.
type metric func(*result) float64

func goodputOf(r *result) float64 { return r.goodput }
func wastedOf(r *result) float64  { return r.wasted }
func idleOf(r *result) float64    { return r.idle }
func othersOf(r *result) float64  { return r.others }

func attainmentOf(class string) metric {
	return func(r *result) float64 { return r.class(class).attainment }
}

func longestWaitOf(class string) metric {
	return func(r *result) float64 { return r.class(class).longestWait.Seconds() }
}

func longestPauseOf(class string) metric {
	return func(r *result) float64 { return r.class(class).longestPause.Seconds() }
}

func firstTokenOf(class string) metric {
	return func(r *result) float64 { return quantile(r.class(class).firstTokens, 0.95).Seconds() }
}

func mean(rs []result, f metric) float64 {
	sum := 0.0
	for i := range rs {
		sum += f(&rs[i])
	}
	return ratio(sum, float64(len(rs)))
}

func lowest(rs []result, f metric) float64 {
	low := 0.0
	for i := range rs {
		if v := f(&rs[i]); i == 0 || v < low {
			low = v
		}
	}
	return low
}

func highest(rs []result, f metric) float64 {
	return -lowest(rs, func(r *result) float64 { return -f(r) })
}

// markdown returns the report in Markdown.
func (s *resultSet) markdown() string {
	var b strings.Builder
	b.WriteString("# Measurements\n\nWritten by `make measure`; do not edit. ")
	b.WriteString("The text is in measure/method.md, measure/remarks.md and measure/platform.md.\n\n")
	b.WriteString(methodText)
	b.WriteString("\n## Targets\n\n")
	s.writeTargets(&b)
	b.WriteString("\n")
	b.WriteString(remarksText)
	b.WriteString("\n## Where a baseline is ahead\n\n")
	s.writeBehind(&b)
	for _, w := range workloads() {
		fmt.Fprintf(&b, "\n## Workload %s\n\n", w.name)
		fmt.Fprintf(&b, "![Attainment of %s](plots/attainment-%s.png)\n\n", w.highest(), w.name)
		fmt.Fprintf(&b, "![Time to first token of %s](plots/first-token-%s.png)\n\n", w.highest(), w.name)
		s.writeTable(&b, w)
		b.WriteString("\n### With and without each choice\n\n")
		s.writeAblations(&b, w)
	}
	b.WriteString("\n" + platformText)
	return b.String()
}

func (s *resultSet) writeTable(b *strings.Builder, w *workload) {
	writeHeader(b, w, "scenario", "policy")
	for _, sc := range scenarios() {
		for _, p := range append([]string{productName}, baselineNames()...) {
			writeRow(b, w, sc.name, p, s.filter(w, sc.name, p))
		}
	}
}

func (s *resultSet) writeAblations(b *strings.Builder, w *workload) {
	writeHeader(b, w, "scenario", "variant")
	for _, sc := range scenarios() {
		var names []string
		for _, a := range ablations() {
			if slices.Contains(a.scenarios, sc.name) {
				names = append(names, a.variant.name)
			}
		}
		if len(names) == 0 {
			continue
		}
		rows := s.filter(w, sc.name, names[0])
		full := s.filter(w, sc.name, productName)
		writeRow(b, w, sc.name, productName, full[:min(len(rows), len(full))])
		for _, name := range names {
			writeRow(b, w, sc.name, name, s.filter(w, sc.name, name))
		}
	}
}

func writeHeader(b *strings.Builder, w *workload, first ...string) {
	columns := slices.Clone(first)
	for _, c := range w.classes {
		columns = append(columns, c.class.Name)
	}
	columns = append(columns, "goodput", "wasted", "idle", "p95 first token "+w.highest(),
		"longest wait "+w.lowest(), "longest pause "+w.lowest(), "messages", "seeds")
	writeCells(b, columns...)
	writeCells(b, slices.Repeat([]string{"---"}, len(columns))...)
}

func writeRow(b *strings.Builder, w *workload, scenario, policy string, rs []result) {
	if len(rs) == 0 {
		return
	}
	cells := []string{scenario, policy}
	for _, c := range w.classes {
		cells = append(cells, fmt.Sprintf("%.3f", mean(rs, attainmentOf(c.class.Name))))
	}
	cells = append(cells,
		fmt.Sprintf("%.3f", mean(rs, goodputOf)),
		fmt.Sprintf("%.4f", mean(rs, wastedOf)),
		fmt.Sprintf("%.4f", mean(rs, idleOf)),
		fmt.Sprintf("%.2f s", mean(rs, firstTokenOf(w.highest()))),
		fmt.Sprintf("%.1f s", highest(rs, longestWaitOf(w.lowest()))),
		fmt.Sprintf("%.1f s", highest(rs, longestPauseOf(w.lowest()))),
		fmt.Sprintf("%.1f", mean(rs, func(r *result) float64 { return r.messages })),
		fmt.Sprint(len(rs)),
	)
	writeCells(b, cells...)
}

func writeCells(b *strings.Builder, cells ...string) {
	fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | "))
}

func starvationBound(w *workload) time.Duration {
	c := w.classes[len(w.classes)-1].class
	return time.Duration(c.StarvationMs) * time.Millisecond
}
