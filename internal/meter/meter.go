// Package meter exposes the counters, gauges and latency histograms of a daemon in the text format of
// Prometheus:
//
//	registry := metrics.NewRegistry()
//	http.Handle("/metrics", meter.Handler(registry))
package meter

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles exposed for each histogram.
var quantiles = []float64{0.5, 0.95, 0.99}

// sampleSize is the maximum number of latencies that a histogram retains.
const sampleSize = 512

// NewHistogram registers a histogram of latencies in milliseconds, weighted towards recent ones.
func NewHistogram(r metrics.Registry, name string) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, 0.015))
}

// RegisterGauge registers a gauge; value is called each time the metrics are read.
func RegisterGauge(r metrics.Registry, name string, value func() int64) {
	_ = r.Register(name, metrics.NewFunctionalGauge(value))
}

// Handler returns an HTTP handler that writes all metrics of a registry, sorted by name.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var lines []string
		r.Each(func(name string, metric any) {
			name = "swiftbeam_" + strings.ReplaceAll(name, ".", "_")
			lines = append(lines, format(name, metric))
		})
		slices.Sort(lines)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = w.Write([]byte(strings.Join(lines, "")))
	})
}

// format returns the lines of one metric.
func format(name string, metric any) string {
	switch v := metric.(type) {
	case metrics.Counter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, v.Count())
	case metrics.Gauge:
		return fmt.Sprintf("# TYPE %s gauge\n%s %d\n", name, name, v.Value())
	case metrics.Histogram:
		s := v.Snapshot()
		out := fmt.Sprintf("# TYPE %s summary\n", name)
		for i, value := range s.Percentiles(quantiles) {
			out += fmt.Sprintf("%s{quantile=\"%g\"} %g\n", name, quantiles[i], value)
		}
		return out + fmt.Sprintf("%s_sum %d\n%s_count %d\n", name, s.Sum(), name, s.Count())
	}
	return ""
}
