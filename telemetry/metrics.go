package telemetry

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const (
	jsonType       = "application/json; charset=utf-8"
	prometheusType = "text/plain; version=0.0.4; charset=utf-8"
)

// MetricsHandler serves the metrics of a registry. The format is JSON by default
// and Prometheus text if the query has format=prometheus, or has no format and
// the client accepts text/plain.
func MetricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "metrics are read with GET", http.StatusMethodNotAllowed)
			return
		}
		format := r.URL.Query().Get("format")
		if format == "" {
			format = "json"
			if strings.Contains(r.Header.Get("Accept"), "text/plain") {
				format = "prometheus"
			}
		}
		switch format {
		case "json":
			writeJSON(w, registry)
		case "prometheus":
			w.Header().Set("Content-Type", prometheusType)
			writePrometheus(w, registry)
		default:
			http.Error(w, fmt.Sprintf("format %q is neither json nor prometheus", format), http.StatusBadRequest)
		}
	})
}

func writeJSON(w http.ResponseWriter, registry metrics.Registry) {
	all := registry.GetAll()
	for _, values := range all {
		for key, value := range values {
			// JSON cannot represent NaN and infinities.
			if f, ok := value.(float64); ok && (math.IsNaN(f) || math.IsInf(f, 0)) {
				values[key] = nil
			}
		}
	}
	w.Header().Set("Content-Type", jsonType)
	json.NewEncoder(w).Encode(all)
}
