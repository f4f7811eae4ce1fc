package intake

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
)

// serve serves a handler within limits and returns its URL.
func serve(t *testing.T, l *Limits, handler http.HandlerFunc) string {
	t.Helper()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	l.Track(server)
	listener, err := l.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + listener.Addr().String()
}

// TestOneAccountLeavesPlacesToOthers fills the places of running requests with those of one account.
func TestOneAccountLeavesPlacesToOthers(t *testing.T) {
	l := &Limits{MaxRunning: 8}
	count := func(account string) (n int) {
		for l.Enter(account) {
			n++
		}
		return n
	}
	if got, want := count("a"), 6; got != want {
		t.Errorf("places of one account: got %d, want %d", got, want)
	}
	if got, want := count("b"), 2; got != want {
		t.Errorf("places that are left to others: got %d, want %d", got, want)
	}
	l.Leave("a")
	if !l.Enter("c") || l.Enter("c") {
		t.Error("after a request has ended: got no place or more than one, want one")
	}
	if got, want := l.Running(), int64(8); got != want {
		t.Errorf("running requests: got %d, want %d", got, want)
	}
	if got, want := l.Busy.Load(), int64(3); got != want {
		t.Errorf("refused requests: got %d, want %d", got, want)
	}
}

// TestRunningRequestsTakeThePlacesOfIdleConnections keeps connections open while requests take their descriptors.
func TestRunningRequestsTakeThePlacesOfIdleConnections(t *testing.T) {
	l := &Limits{MaxWaiting: 8, MaxIdle: 8, MaxRunning: 8, MaxOpen: 8}
	url := serve(t, l, func(http.ResponseWriter, *http.Request) {})
	var kept []*http.Transport
	for range 6 {
		transport := &http.Transport{}
		kept = append(kept, transport)
		response, err := (&http.Client{Transport: transport}).Get(url)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
	defer func() {
		for _, transport := range kept {
			transport.CloseIdleConnections()
		}
	}()
	for end := time.Now().Add(5 * time.Second); l.Idle() != 6 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for range 4 {
		if !l.Enter("a") {
			t.Fatal("got no place for a request, want one")
		}
	}
	if got, want := l.Idle(), int64(4); got != want {
		t.Errorf("idle connections beside 4 requests: got %d, want %d of 8 descriptors", got, want)
	}
}

// TestErrorsOfServersAreLoggedOnceASecond guards against a line for each connection that clients break off.
func TestErrorsOfServersAreLoggedOnceASecond(t *testing.T) {
	var lines bytes.Buffer
	l := &Limits{Log: funcr.New(func(_, args string) { lines.WriteString(args + "\n") }, funcr.Options{})}
	for range 1000 {
		l.errorLog().Print("http: TLS handshake error from 10.0.0.1:9: EOF")
	}
	if got := strings.Count(lines.String(), "\n"); got < 1 || got > 2 {
		t.Errorf("got %d lines, want one a second:\n%s", got, lines.String())
	}
	if got, want := l.ServerErrors.Load(), int64(1000); got != want {
		t.Errorf("counted errors: got %d, want %d", got, want)
	}
}

// TestKeptMemoryCountsUntilItIsReleased keeps the memory of a body beyond the handler of its request.
func TestKeptMemoryCountsUntilItIsReleased(t *testing.T) {
	l := &Limits{MaxWaiting: 4, MaxIdle: 4, BodyBytes: 1 << 20}
	release := make(chan func(), 1)
	url := serve(t, l, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := Read(r, 1<<20, time.Time{}); err != nil {
			t.Errorf("got error %v, want none", err)
		}
		release <- Keep(r)
	})
	response, err := http.Post(url, "text/plain", bytes.NewReader(make([]byte, 512<<10)))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if got := l.Used(); got < 512<<10 {
		t.Errorf("memory after the handler: got %d bytes, want those of the body", got)
	}
	end := <-release
	end()
	end()
	if got := l.Used(); got != 0 {
		t.Errorf("memory after the release: got %d bytes, want none", got)
	}
}
