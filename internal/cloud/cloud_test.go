package cloud

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"swiftbeam/internal/engine"
	"swiftbeam/internal/ports"
)

// TestNoticesOfAFailedCallAreNoEmptyList answers the poll for notices with errors that are JSON objects.
func TestNoticesOfAFailedCallAreNoEmptyList(t *testing.T) {
	for _, test := range []struct {
		status int
		body   string
	}{{http.StatusServiceUnavailable, `{"error":"overloaded"}`}, {http.StatusNotFound, `{}`}, {http.StatusOK, `{"notices":[{"seq`}, {http.StatusOK, ``}} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			_, _ = io.WriteString(w, test.body)
		}))
		list, err := (&Client{Address: s.URL, HTTP: s.Client()}).Notices(context.Background(), 0)
		s.Close()
		if err == nil {
			t.Errorf("status %d, %q: got %d notices without an error, want an error", test.status, test.body, len(list))
		}
	}
}

// TestStatusesThatHTTPDoesNotDefineAcceptNoOrder answers an order with statuses that no final response has.
func TestStatusesThatHTTPDoesNotDefineAcceptNoOrder(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := (&Client{Address: "http://" + address, HTTP: engine.NewHTTPClient(nil)}).Stop(t.Context(), StopOrder{}); err == nil {
			t.Errorf("status %s: got no error, want one", status)
		}
	}
}
