package manage

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metrics writes all counters and gauges in the text format that Prometheus scrapes.
func (m *Manage) metrics(w http.ResponseWriter, _ *action) error {
	var lines []string
	m.Metrics.Each(func(name string, metric any) {
		name = "swiftbeam_" + strings.ReplaceAll(name, ".", "_")
		switch v := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("# TYPE %s gauge\n%s %d\n", name, name, v.Value()))
		}
	})
	slices.Sort(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write([]byte(strings.Join(lines, "")))
	return nil
}
