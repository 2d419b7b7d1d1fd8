package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns of a table.
const columnGap = 2

// printJSON prints v as indented JSON.
func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.Out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// table collects rows and prints them in aligned columns.
type table struct {
	rows [][]string
}

func newTable(header ...string) *table { return &table{rows: [][]string{header}} }

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = formatCell(c)
	}
	t.rows = append(t.rows, row)
}

func formatCell(v any) string {
	switch v := v.(type) {
	case float64:
		return fmt.Sprintf("%.2f", v)
	case string:
		if v == "" {
			return "-"
		}
		return replaceControlChars(v)
	}
	return fmt.Sprint(v)
}

// replaceControlChars replaces control characters by spaces: they could be
// interpreted by the terminal or break the columns of a table.
func replaceControlChars(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
}

func (a *app) printTable(t *table) error {
	w := tabwriter.NewWriter(a.Out, 0, 0, columnGap, ' ', 0)
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// printFields prints alternating names and values, one pair a line.
func (a *app) printFields(pairs ...any) error {
	w := tabwriter.NewWriter(a.Out, 0, 0, columnGap, ' ', 0)
	for i := 0; i < len(pairs); i += 2 {
		fmt.Fprintf(w, "%v:\t%s\n", pairs[i], formatCell(pairs[i+1]))
	}
	return w.Flush()
}
