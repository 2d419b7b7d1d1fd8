package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/jacinththread/jacinththread/settings"
)

func testRegistry() metrics.Registry {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("scheduler.granted", r).Inc(7)
	metrics.GetOrRegisterGauge("scheduler.queued", r).Update(3)
	metrics.GetOrRegisterGaugeFloat64("load.share", r).Update(math.NaN())
	h := metrics.GetOrRegisterHistogram("tokens", r, metrics.NewUniformSample(100))
	h.Update(10)
	h.Update(30)
	metrics.GetOrRegisterTimer("gateway.first-token", r).Update(1500 * time.Millisecond)
	return r
}

func serve(h http.Handler, method, target, accept string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, target, nil)
	req.Header.Set("Accept", accept)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

func TestMetricsAsJSON(t *testing.T) {
	w := serve(MetricsHandler(testRegistry()), "GET", "/metrics", "")
	assert.Equal(t, w.Header().Get("Content-Type"), jsonType)
	var got map[string]map[string]any
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
	assert.Equal(t, got["scheduler.granted"]["count"], 7.0)
	assert.Equal(t, got["tokens"]["mean"], 20.0)
	assert.Equal(t, got["load.share"]["value"], nil)
}

func TestMetricsAsPrometheusText(t *testing.T) {
	h := MetricsHandler(testRegistry())
	w := serve(h, "GET", "/metrics?format=prometheus", "")
	assert.Equal(t, w.Header().Get("Content-Type"), prometheusType)
	assert.Equal(t, w.Body.String(), strings.TrimLeft(`
# TYPE jacinththread_gateway_first_token_seconds summary
jacinththread_gateway_first_token_seconds{quantile="0.5"} 1.5
jacinththread_gateway_first_token_seconds{quantile="0.95"} 1.5
jacinththread_gateway_first_token_seconds{quantile="0.99"} 1.5
jacinththread_gateway_first_token_seconds{quantile="0.999"} 1.5
jacinththread_gateway_first_token_seconds_count 1
# TYPE jacinththread_load_share gauge
jacinththread_load_share NaN
# TYPE jacinththread_scheduler_granted counter
jacinththread_scheduler_granted 7
# TYPE jacinththread_scheduler_queued gauge
jacinththread_scheduler_queued 3
# TYPE jacinththread_tokens summary
jacinththread_tokens{quantile="0.5"} 20
jacinththread_tokens{quantile="0.95"} 30
jacinththread_tokens{quantile="0.99"} 30
jacinththread_tokens{quantile="0.999"} 30
jacinththread_tokens_count 2
`, "\n"))
	scrape := serve(h, "GET", "/metrics", "application/openmetrics-text;q=0.9,text/plain;version=0.0.4;q=0.5")
	assert.Equal(t, scrape.Body.String(), w.Body.String())
}

func TestMetricsRefusesOtherRequests(t *testing.T) {
	h := MetricsHandler(testRegistry())
	assert.Equal(t, serve(h, "GET", "/metrics?format=xml", "").Code, http.StatusBadRequest)
	assert.Equal(t, serve(h, "POST", "/metrics", "").Code, http.StatusMethodNotAllowed)
}

func TestRoutes(t *testing.T) {
	router := mux.NewRouter()
	notReady := errors.New("no bundle is in force")
	Routes(router, testRegistry(), func() error { return notReady })
	assert.Equal(t, serve(router, "GET", "/healthz", "").Code, http.StatusOK)
	w := serve(router, "GET", "/readyz", "")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Body.String(), `{"status":"not ready","reason":"no bundle is in force"}`+"\n")
	notReady = nil
	assert.Equal(t, serve(router, "GET", "/readyz", "").Code, http.StatusOK)
	assert.Equal(t, serve(router, "GET", "/metrics", "").Code, http.StatusOK)
	assert.Equal(t, serve(router, "GET", "/debug/pprof/", "").Code, http.StatusOK)
	assert.Equal(t, serve(router, "GET", "/debug/pprof/heap", "").Code, http.StatusOK)
}

func TestNewLogger(t *testing.T) {
	var out bytes.Buffer
	l, err := NewLogger(&out, settings.Telemetry{LogLevel: "warn", LogFormat: "json"}, "entry-1")
	assert.NilError(t, err)
	l.Info("hidden")
	l.Warn("link is silent", "peer", "entry-2")
	var entry map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &entry))
	assert.Equal(t, entry["host"], "entry-1")
	assert.Equal(t, entry["msg"], "link is silent")
	assert.Equal(t, entry["peer"], "entry-2")
	_, err = NewLogger(&out, settings.Telemetry{LogLevel: "loud", LogFormat: "json"}, "")
	assert.ErrorContains(t, err, `log level "loud"`)
	_, err = NewLogger(&out, settings.Telemetry{LogLevel: "info", LogFormat: "xml"}, "")
	assert.ErrorContains(t, err, `log format "xml"`)
}
