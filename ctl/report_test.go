package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const doneLine = `{"time":"2026-12-04T00:00:01Z","msg":"request done","host":"h1","service":"s","route":"r","outcome":"refused","status":503,"reason":"busy"}`

func TestReportPrintsTables(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.log")
	assert.NilError(t, os.WriteFile(path, []byte("noise\n"+doneLine+"\n"), 0o600))
	plot := filepath.Join(t.TempDir(), "fates.png")
	got := run(t, "report", "--plot", plot, path)
	assert.Equal(t, got.code, 0, got.err)
	for _, want := range []string{"reason of the loss", "busy", "service and route", "s r"} {
		assert.Assert(t, strings.Contains(got.out, want), got.out)
	}
	assert.Assert(t, strings.Contains(got.err, "skipped 1 lines"), got.err)
	_, err := os.Stat(plot)
	assert.NilError(t, err)

	got = run(t, "--json", "report", path)
	var tables []struct {
		Title string
		Rows  []struct {
			Name  string
			Fates map[string]int
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(got.out), &tables))
	assert.Equal(t, tables[0].Rows[0].Fates["refused"], 1)
}

func TestReportRefusesBadUse(t *testing.T) {
	assert.Equal(t, run(t, "report").code, ExitUsage)
	assert.Equal(t, run(t, "report", "--interval", "0s", "x").code, ExitUsage)
	got := run(t, "report", filepath.Join(t.TempDir(), "none"))
	assert.Assert(t, got.code != 0)
	assert.Assert(t, strings.Contains(got.err, "none"), got.err)
}
