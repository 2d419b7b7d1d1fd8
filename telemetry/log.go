// Package telemetry sets up the logs, metrics, traces and health checks of a
// daemon.
package telemetry

import (
	"fmt"
	"io"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"github.com/jacinththread/jacinththread/settings"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes to w. Every entry has the daemon's host
// in the field "host"; entries about another daemon name it in the field
// "daemon".
func NewLogger(w io.Writer, t settings.Telemetry, host string) (*log.Logger, error) {
	level, err := log.ParseLevel(t.LogLevel)
	if err != nil {
		return nil, trace.Wrap(err, "parsing log level %q", t.LogLevel)
	}
	formatter, err := formatterOf(t.LogFormat)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	logger := log.NewWithOptions(w, log.Options{
		Level:           level,
		Formatter:       formatter,
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		TimeFunction:    log.NowUTC,
		Fields:          []any{"host", host},
	})
	return logger, nil
}

func formatterOf(name string) (log.Formatter, error) {
	switch name {
	case "text":
		return log.TextFormatter, nil
	case "logfmt":
		return log.LogfmtFormatter, nil
	case "json":
		return log.JSONFormatter, nil
	}
	return 0, fmt.Errorf("log format %q is none of text, logfmt, json", name)
}
