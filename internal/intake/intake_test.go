package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// start starts a server that reads bodies of at most a megabyte.
func start(t *testing.T, l *Limits) *httptest.Server {
	t.Helper()
	return startHeld(t, l, &heldListener{}, func(*http.Request) {})
}

// startHeld is start with a listener that holds up connections. Requests whose bodies were read are passed to handle.
func startHeld(t *testing.T, l *Limits, h *heldListener, handle func(*http.Request)) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := Read(r, 1<<20, time.Now().Add(20*time.Second))
		if err == nil {
			handle(r)
		}
		if err != nil {
			w.Header().Set("Connection", "close")
		}
		switch {
		case errors.Is(err, ErrFull):
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, ErrTooLong):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err != nil:
			panic(http.ErrAbortHandler)
		default:
			fmt.Fprint(w, len(body))
		}
	}))
	l.Track(server.Config)
	h.Listener = server.Listener
	server.Listener = h
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// open sends text on a new connection, which stays open.
func open(t *testing.T, server *httptest.Server, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func status(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

func await(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("still waiting")
		}
	}
}

const postHead = "POST / HTTP/1.1\r\nHost: x\r\n"

// TestStalledBodyGivesUpItsMemory holds a body open that uses the memory which another one needs.
func TestStalledBodyGivesUpItsMemory(t *testing.T) {
	l := &Limits{BodyBytes: 1 << 20, MaxWaiting: 100, MaxIdle: 100}
	server := start(t, l)
	stalled := open(t, server, postHead+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("x", 999_999))
	await(t, func() bool { return l.Used() == 1_000_000 })
	time.Sleep(stallTime + 100*time.Millisecond)
	whole := open(t, server, postHead+"Content-Length: 1000000\r\n\r\n"+strings.Repeat("x", 1_000_000))
	if got := status(t, whole); got != http.StatusOK {
		t.Errorf("whole body: got status %d, want 200", got)
	}
	if got := status(t, stalled); got != http.StatusServiceUnavailable {
		t.Errorf("stalled body: got status %d, want 503", got)
	}
	await(t, func() bool { return l.Used() == 0 })
}

// TestBodiesOverTheLimitAreNotRead announces, and sends, too long a body.
func TestBodiesOverTheLimitAreNotRead(t *testing.T) {
	server := start(t, &Limits{BodyBytes: 1 << 20, MaxWaiting: 100, MaxIdle: 100})
	for _, text := range []string{
		"Content-Length: 1048577\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("x", 0x100001) + "\r\n",
	} {
		if got := status(t, open(t, server, postHead+text)); got != http.StatusRequestEntityTooLarge {
			t.Errorf("got status %d, want 413", got)
		}
	}
}

// TestBodiesAreWhole reads bodies around the sizes at which the buffer grows.
func TestBodiesAreWhole(t *testing.T) {
	l := &Limits{BodyBytes: 1, MaxWaiting: 100, MaxIdle: 100}
	server := start(t, l)
	for _, size := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, shortBytes, shortBytes + 1, 1<<20 - 1, 1 << 20} {
		body := strings.Repeat("x", size)
		for _, text := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body), fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", chunk(body))} {
			response, err := http.ReadResponse(bufio.NewReader(open(t, server, postHead+text)), nil)
			if err != nil {
				t.Fatal(err)
			}
			got, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if string(got) != fmt.Sprint(size) {
				t.Errorf("%d bytes: got status %d, %q", size, response.StatusCode, got)
			}
		}
	}
	await(t, func() bool { return l.Used() == 0 })
}

func chunk(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// TestOldestWaitingConnectionIsClosed opens one connection too many. Connections with running requests are not closed.
func TestOldestWaitingConnectionIsClosed(t *testing.T) {
	l := &Limits{BodyBytes: 1 << 20, MaxWaiting: 2, MaxIdle: 2}
	server := start(t, l)
	first := open(t, server, postHead)
	await(t, func() bool { return l.Waiting() == 1 })
	open(t, server, "")
	await(t, func() bool { return l.Waiting() == 2 })
	if got := status(t, open(t, server, postHead+"Content-Length: 1\r\n\r\nx")); got != http.StatusOK {
		t.Errorf("ordinary request: got status %d, want 200", got)
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("oldest connection: got a byte, want its end")
	}
	if got := l.Closed.Load(); got < 1 {
		t.Errorf("got %d connections closed, want 1 at least", got)
	}
}

// TestOldBufferOfAGrowingBodyCounts grows a body beside one that holds memory.
func TestOldBufferOfAGrowingBodyCounts(t *testing.T) {
	// Room for the first body and the grown buffer of the second one, but not for the buffer that it grows from.
	l := &Limits{BodyBytes: 4*shortBytes + 1, MaxWaiting: 100, MaxIdle: 100}
	hold := make(chan struct{})
	server := startHeld(t, l, &heldListener{}, func(r *http.Request) {
		if r.Header.Get("Hold") != "" {
			<-hold
		}
	})
	defer close(hold)
	open(t, server, fmt.Sprintf("%sHold: 1\r\nContent-Length: %d\r\n\r\n%s", postHead, 2*shortBytes, strings.Repeat("x", 2*shortBytes)))
	await(t, func() bool { return l.Used() == 2*shortBytes })
	second := open(t, server, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", postHead, 2*shortBytes, strings.Repeat("x", 2*shortBytes)))
	if got := status(t, second); got != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503", got)
	}
	if got := l.Used(); got != 2*shortBytes {
		t.Errorf("got %d bytes in use, want %d", got, 2*shortBytes)
	}
}
