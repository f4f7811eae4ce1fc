package manage

import (
	"net/http"

	"swiftbeam/internal/meter"
)

// metrics shows all counters and gauges.
func (m *Server) metrics(w http.ResponseWriter, a *action) error {
	meter.Handler(m.Metrics).ServeHTTP(w, a.Request)
	return nil
}
