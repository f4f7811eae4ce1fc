package entry

import (
	"net/http/httptest"
	"testing"
	"time"

	"swiftbeam/internal/once"
	"swiftbeam/internal/relay"
	"swiftbeam/internal/stream"
	"swiftbeam/pkg/clock"
)

// deadlineWriter records the deadlines that are set, and how many writes had none.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline  time.Time
	unlimited int
}

func (d *deadlineWriter) SetWriteDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

func (d *deadlineWriter) FlushError() error { return nil }

func (d *deadlineWriter) Write(b []byte) (int, error) {
	if d.deadline.IsZero() {
		d.unlimited++
	}
	return d.ResponseRecorder.Write(b)
}

// TestEachWriteHasADeadlineThatEndsWithTheResponse guards against callers that never read, and against deadlines that outlive
// their response and end a later one on the same connection.
func TestEachWriteHasADeadlineThatEndsWithTheResponse(t *testing.T) {
	e := &Entry{Clock: clock.Start(), Relay: &relay.Relay{Clock: clock.Start()}}
	record := stream.NewRecord(stream.Request{ID: "r"})
	record.Append("a")
	record.Show(1)
	record.End(2, "stop")
	q := &callerRequest{Request: httptest.NewRequestWithContext(t.Context(), "GET", "/", nil)}
	for name, write := range map[string]func(w *deadlineWriter){
		"stream":     func(w *deadlineWriter) { e.writeStream(w, q, record, 0) },
		"completion": func(w *deadlineWriter) { e.writeCompletion(w, q, record) },
		"call":       func(w *deadlineWriter) { e.writeAnswer(w, once.Answer{Status: 200, Body: []byte("x")}) },
	} {
		w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		write(w)
		if w.unlimited > 0 {
			t.Errorf("%s: got %d writes without a deadline, want none", name, w.unlimited)
		}
		if w.Body.Len() == 0 || !w.deadline.IsZero() {
			t.Errorf("%s: got %d bytes and the deadline %v afterwards, want a response and no deadline", name, w.Body.Len(), w.deadline)
		}
	}
}
