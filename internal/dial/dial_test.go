package dial

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"swiftbeam/pkg/clock"
)

// lossyDial loses the first packets of a connection: those attempts hang until they are cancelled.
func lossyDial(lost int32, attempts *atomic.Int32) Func {
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		if attempts.Add(1) <= lost {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		here, there := net.Pipe()
		_ = there.Close()
		return here, nil
	}
}

// TestLostPacketsCostIntervals checks that each lost packet costs an interval and not the timeout.
func TestLostPacketsCostIntervals(t *testing.T) {
	var attempts atomic.Int32
	r := Repeater{Timeout: 10 * clock.Second, Dial: lossyDial(2, &attempts)}
	began := time.Now()
	conn, err := r.DialContext(t.Context(), "tcp4", "server")
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	if got, want := time.Since(began), 5*time.Second; got > want {
		t.Errorf("got a connection after %v, want at most %v", got, want)
	}
	if got, want := attempts.Load(), int32(3); got != want {
		t.Errorf("got %d attempts, want %d", got, want)
	}
}

// TestRefusalEndsTheCall checks that a refused attempt is not repeated.
func TestRefusalEndsTheCall(t *testing.T) {
	refused := errors.New("connection refused")
	r := Repeater{Timeout: 10 * clock.Second, Dial: func(context.Context, string, string) (net.Conn, error) { return nil, refused }}
	if _, err := r.DialContext(t.Context(), "tcp4", "server"); !errors.Is(err, refused) {
		t.Errorf("got error %v, want %v", err, refused)
	}
}

// TestTimeoutBoundsAllAttempts checks that a silent address ends the call after the timeout.
func TestTimeoutBoundsAllAttempts(t *testing.T) {
	var attempts atomic.Int32
	r := Repeater{Timeout: 400 * clock.Millisecond, Dial: lossyDial(1000, &attempts)}
	if _, err := r.DialContext(t.Context(), "tcp4", "server"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want %v", err, context.DeadlineExceeded)
	}
}

// TestLateConnectionsAreClosed checks that the attempts that open after the first are closed.
func TestLateConnectionsAreClosed(t *testing.T) {
	here, there := net.Pipe()
	var attempts atomic.Int32
	first := make(chan struct{})
	r := Repeater{Timeout: 10 * clock.Second, Dial: func(context.Context, string, string) (net.Conn, error) {
		if attempts.Add(1) == 1 {
			<-first
			return here, nil
		}
		conn, other := net.Pipe()
		_ = other.Close()
		return conn, nil
	}}
	conn, err := r.DialContext(t.Context(), "tcp4", "server")
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	close(first)
	if err := there.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := there.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want the connection closed", err)
	}
}

// TestReadBuffersFitIntoSmallMemory guards against buffers of the system that do not shrink with the memory of the process.
func TestReadBuffersFitIntoSmallMemory(t *testing.T) {
	for _, c := range []struct {
		memory int64
		want   int
	}{{0, 64 << 10}, {16 << 20, 16 << 10}, {64 << 20, 32 << 10}, {128 << 20, 64 << 10}, {1 << 30, 64 << 10}} {
		if got := ReadBuffer(c.memory); got != c.want {
			t.Errorf("memory of %d bytes: got a buffer of %d, want %d", c.memory, got, c.want)
		}
	}
}
