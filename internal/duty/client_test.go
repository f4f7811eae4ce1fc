package duty

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"swiftbeam/internal/ports"
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

// respond starts a server that reads each request, writes a response and closes the connection.
func respond(t *testing.T, write func(conn net.Conn)) (address string) {
	t.Helper()
	address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			write(conn)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// post sends a call without a gate.
func post(t *testing.T, address string) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", bytes.NewReader([]byte("{}")))
	if err != nil {
		t.Fatal(err)
	}
	return NewClient().Do(r)
}

// TestRedirectIsNotFollowed guards against calls that have arrived and count as unsent, as the redirected one was late.
func TestRedirectIsNotFollowed(t *testing.T) {
	calls := atomic.Int64{}
	address := respond(t, func(conn net.Conn) {
		calls.Add(1)
		_, _ = io.WriteString(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n")
	})
	response, err := post(t, address)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got := calls.Load(); got != 1 || response.StatusCode != http.StatusTemporaryRedirect {
		t.Errorf("got %d calls and status %d, want 1 and 307", got, response.StatusCode)
	}
}

// TestInterimResponseIsNotTheAnswer guards against calls that were refused and count as accepted.
func TestInterimResponseIsNotTheAnswer(t *testing.T) {
	address := respond(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	})
	response, err := post(t, address)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// TestEndlessHeadEndsTheCall guards against responses that take up the memory of the process.
func TestEndlessHeadEndsTheCall(t *testing.T) {
	const allowed = 16 << 20
	sent := atomic.Int64{}
	address := respond(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		line := append(bytes.Repeat([]byte("x"), 64<<10), ": y\r\n"...)
		for sent.Load() < 4*allowed {
			n, err := conn.Write(line)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	response, err := post(t, address)
	if err == nil {
		response.Body.Close()
		t.Error("got a response, want an error")
	}
	if got := sent.Load(); got > allowed {
		t.Errorf("got %d bytes read of the head, want at most %d", got, allowed)
	}
}

// TestCallThatCannotArriveInTimeIsLate guards against calls that are sent right before their deadline over a long way.
func TestCallThatCannotArriveInTimeIsLate(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for transit, want := range map[time.Duration]bool{0: false, 30 * time.Second: false, 2 * time.Minute: true} {
		isLate, err := newLimit(ctx, transit)
		if err != nil {
			t.Fatal(err)
		}
		if got := isLate(); got != want {
			t.Errorf("a minute before the deadline, with %v of transit: got late %v, want %v", transit, got, want)
		}
	}
}

// TestSegmentsSentAgainArriveInTime guards against calls that arrive after their deadline because the kernel sends a lost segment again.
func TestSegmentsSentAgainArriveInTime(t *testing.T) {
	address := respond(t, func(net.Conn) {})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c, err := connect(ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	c.openTime = 400 * time.Millisecond
	if err := c.limitRetransmission(ctx); err != nil {
		t.Fatal(err)
	}
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var got int
	var getErr error
	if err := raw.Control(func(fd uintptr) { got, getErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }); err != nil || getErr != nil {
		t.Fatal(err, getErr)
	}
	if got < 1 || got > 800 {
		t.Errorf("got a time to send again of %d ms, want at most 800 over a way of 200 ms with a deadline of 1000 ms", got)
	}
}

// TestCallOverTLSIsNotSent guards against calls that are sent in plain text to an address that requires TLS.
func TestCallOverTLSIsNotSent(t *testing.T) {
	calls := atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer s.Close()
	response, err := NewClient().Get(strings.Replace(s.URL, "http:", "https:", 1))
	if err == nil {
		response.Body.Close()
	}
	if got := calls.Load(); got > 0 || !errors.Is(err, ErrUnsent) {
		t.Errorf("got %d calls and error %v, want none and ErrUnsent", got, err)
	}
}

// TestClosedGateSendsNothingOverTLS guards against orders to a cloud over TLS that are begun after the right to send has ended.
func TestClosedGateSendsNothingOverTLS(t *testing.T) {
	c := clock.Start()
	for name, test := range map[string]struct {
		open func() (clock.Instant, bool)
		want int64
	}{
		"open":    {func() (clock.Instant, bool) { return c.Now().Add(clock.Minute), true }, 1},
		"closed":  {func() (clock.Instant, bool) { return 0, false }, 0},
		"expired": {func() (clock.Instant, bool) { return c.Now().Add(-1), true }, 0},
	} {
		calls := atomic.Int64{}
		s := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
		client := s.Client()
		client.Transport = CheckFirst(client.Transport)
		r, err := http.NewRequestWithContext(WithGate(t.Context(), Gate{Clock: c, Open: test.open}), http.MethodPost, s.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(r)
		if err == nil {
			response.Body.Close()
		}
		s.Close()
		if got := calls.Load(); got != test.want || errors.Is(err, ErrUnsent) != (test.want == 0) {
			t.Errorf("%s gate: got %d calls and error %v, want %d calls", name, got, err, test.want)
		}
	}
}

// TestStatusesThatHTTPDoesNotDefineAreNoAnswer keeps the connection open after a status that is neither interim nor final. The
// call must not wait for another response.
func TestStatusesThatHTTPDoesNotDefineAreNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		address := respond(t, func(conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
			<-t.Context().Done()
		})
		response, err := post(t, address)
		if err == nil {
			response.Body.Close()
			t.Errorf("status %s: got status %d, want an error", status, response.StatusCode)
		}
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("status %s: got error %v, want one before the deadline", status, err)
		}
	}
}
