// Package telemetry sets up logs, metrics and traces of a daemon.
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

// NewLogger returns a logger that writes to w and names the daemon's host in
// every entry. Events name other daemons in the field "daemon".
func NewLogger(w io.Writer, t settings.Telemetry, host string) (*log.Logger, error) {
	level, err := log.ParseLevel(t.LogLevel)
	if err != nil {
		return nil, trace.Wrap(err, "log level %q", t.LogLevel)
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
	return 0, fmt.Errorf("log format %q does not exist", name)
}
