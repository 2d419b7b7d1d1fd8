package telemetry

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// namePrefix starts the name of every Prometheus metric.
const namePrefix = "jacinththread_"

// quantiles are the quantiles reported for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99, 0.999}

// writePrometheus writes the metrics sorted by name in the Prometheus text
// format. Timers are in seconds. Histograms and timers have no _sum series,
// because the registry keeps a sample of the values and not their total.
func writePrometheus(w io.Writer, registry metrics.Registry) {
	all := map[string]any{}
	registry.Each(func(name string, metric any) { all[prometheusName(name)] = metric })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		writeMetric(w, name, all[name])
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeValue(w, name, "counter", float64(m.Count()))
	case metrics.Meter:
		writeValue(w, name, "counter", float64(m.Snapshot().Count()))
	case metrics.Gauge:
		writeValue(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeValue(w, name, "gauge", m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), 1, s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name+"_seconds", s.Percentiles(quantiles), float64(time.Second), s.Count())
	}
}

func writeValue(w io.Writer, name, kind string, value float64) {
	fmt.Fprintf(w, "# TYPE %s %s\n%s %s\n", name, kind, name, formatFloat(value))
}

// writeSummary writes a summary whose values, one for each of quantiles, are
// divided by unit.
func writeSummary(w io.Writer, name string, values []float64, unit float64, count int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=%q} %s\n", name, formatFloat(q), formatFloat(values[i]/unit))
	}
	fmt.Fprintf(w, "%s_count %d\n", name, count)
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// prometheusName converts a dotted name to a valid Prometheus metric name.
func prometheusName(name string) string {
	return namePrefix + strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
			return r
		}
		return '_'
	}, name)
}
