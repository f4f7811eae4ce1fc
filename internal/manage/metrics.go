package manage

import (
	"net/http"

	"swiftbeam/internal/meter"
)

// metrics serves all metrics in the Prometheus text format.
func (m *Server) metrics(w http.ResponseWriter, a *action) error {
	meter.Handler(m.Metrics).ServeHTTP(w, a.Request)
	return nil
}
