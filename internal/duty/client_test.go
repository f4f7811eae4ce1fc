package duty

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/pkg/clock"
)

// callSlowServer sends a call of the given size with a gate to a server that begins to read after a while. It returns how
// many bytes the server got, and the error of the call.
func callSlowServer(t *testing.T, size int, wait time.Duration, open func() (clock.Instant, bool), c clock.Clock) (int64, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	received := make(chan int64, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			received <- 0
			return
		}
		defer conn.Close()
		time.Sleep(wait)
		n, _ := io.Copy(io.Discard, conn)
		received <- n
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(WithGate(ctx, Gate{Clock: c, Open: open}), http.MethodPost, "http://"+l.Addr().String()+"/", bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	response, err := NewClient().Do(r)
	if err == nil {
		response.Body.Close()
	}
	return <-received, err
}

// TestCallThatIsStuckStopsWithTheLease guards against parts of a call that are sent after the holder's right to send has ended.
func TestCallThatIsStuckStopsWithTheLease(t *testing.T) {
	const size = 32 << 20
	c := clock.Start()
	received, err := callSlowServer(t, size, 400*time.Millisecond, func() (clock.Instant, bool) { return c.Now().Add(100), true }, c)
	if !errors.Is(err, errLate) || errors.Is(err, ErrUnsent) {
		t.Errorf("got error %v, want that the call is late, though a part was sent", err)
	}
	if received >= size {
		t.Errorf("the server got %d bytes, want less than the %d of the body", received, size)
	}
}

// TestClosedGateSendsNothing guards against calls of a daemon that lost the duties while it opened the connection.
func TestClosedGateSendsNothing(t *testing.T) {
	c := clock.Start()
	for name, open := range map[string]func() (clock.Instant, bool){
		"closed":  func() (clock.Instant, bool) { return 0, false },
		"expired": func() (clock.Instant, bool) { return c.Now().Add(-1), true },
	} {
		received, err := callSlowServer(t, 100, 0, open, c)
		if !errors.Is(err, ErrUnsent) || received > 0 {
			t.Errorf("%s gate: got error %v and %d bytes sent, want none and ErrUnsent", name, err, received)
		}
	}
}

// suspendedClock is the clock of a VM that was suspended for 5 s after the last call of Refresh.
type suspendedClock struct{ clock.Manual }

func (c *suspendedClock) Refresh() { c.Advance(5 * clock.Second) }

// TestSuspendedHolderSendsNoCall guards against calls of a VM that was suspended, whose monotonic clock does not show it.
func TestSuspendedHolderSendsNoCall(t *testing.T) {
	c := &suspendedClock{}
	received, err := callSlowServer(t, 100, 0, func() (clock.Instant, bool) { return c.Now().Add(300), true }, c)
	if !errors.Is(err, ErrUnsent) || received > 0 {
		t.Errorf("got error %v and %d bytes sent, want none and ErrUnsent", err, received)
	}
}
