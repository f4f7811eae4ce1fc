package conns

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// start serves handler at a new address and returns the tracker, the listener and the address.
func start(t *testing.T, handler http.HandlerFunc) (*Tracker, net.Listener, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	tracker := Track(server)
	go func() { _ = server.Serve(tracker.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return tracker, l, l.Addr().String()
}

// TestRequestsAfterTheListenerClosedAreAnswered guards against requests that are read in a planned stop and dropped, as
// Server.Shutdown does.
func TestRequestsAfterTheListenerClosedAreAnswered(t *testing.T) {
	tracker, l, address := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprint(conn, "GET / HTTP/1.1\r\n")
	time.Sleep(20 * time.Millisecond)
	_ = l.Close()
	if got := tracker.CloseIdle(time.Now()); got != 1 {
		t.Errorf("got %d open connections while a request arrives, want 1", got)
	}
	fmt.Fprint(conn, "Host: desk.example\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got error %v, want a response", err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	for deadline := time.Now().Add(5 * time.Second); tracker.CloseIdle(time.Now()) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got an open connection 5 s after its response, want none")
		}
	}
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("got error %v on the idle connection, want it closed", err)
	}
}

// TestRequestsThatCrossTheCloseAreNotCut guards against a request that is handled although its connection was closed as idle
// at that moment.
func TestRequestsThatCrossTheCloseAreNotCut(t *testing.T) {
	const clients, rounds = 64, 20
	var handled, answered atomic.Int64
	for range rounds {
		tracker, l, address := start(t, func(w http.ResponseWriter, _ *http.Request) {
			handled.Add(1)
			_, _ = io.WriteString(w, "fine")
		})
		var work sync.WaitGroup
		for range clients {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			work.Go(func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n")
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, response.Body); err == nil {
						answered.Add(1)
					}
					response.Body.Close()
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		_ = l.Close()
		for deadline := time.Now().Add(5 * time.Second); tracker.CloseIdle(time.Now()) > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("got open connections after 5 s, want none")
			}
		}
		work.Wait()
	}
	if got, want := answered.Load(), handled.Load(); got != want {
		t.Errorf("got %d responses to %d requests that were handled", got, want)
	}
}

// TestSilentConnectionsCountAsIdle guards against a stop that waits for callers that opened a connection and send nothing.
func TestSilentConnectionsCountAsIdle(t *testing.T) {
	tracker, _, address := start(t, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for deadline := time.Now().Add(5 * time.Second); tracker.CloseIdle(time.Now()) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got no connection, want one")
		}
	}
	if got := tracker.CloseIdle(time.Now().Add(silentTimeout + time.Second)); got != 0 {
		t.Errorf("got %d open connections, want 0", got)
	}
}

// TestIdleConnectionsOfChunkedRequestsAreClosed guards against a stop that waits for a connection whose last request had a body
// in chunks, behind which the end of a request cannot be found.
func TestIdleConnectionsOfChunkedRequestsAreClosed(t *testing.T) {
	tracker, _, address := start(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	for deadline := time.Now().Add(2 * time.Second); tracker.CloseIdle(time.Now()) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got an open connection 2 s after its response, want none")
		}
	}
}

// TestHasNext guards against a connection that is closed with the response to a request, though a further one was read.
func TestHasNext(t *testing.T) {
	const get, post = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n", "POST /2 HTTP/1.1\nHost: a\ncontent-length: 5\n\nab\r\n\n"
	for _, test := range []struct {
		name, sent string
		want       []bool
	}{
		{"one", get, []bool{false}},
		{"two", get + get, []bool{true, false}},
		{"body that looks like the end of a head", post, []bool{false}},
		{"behind a body", post + get, []bool{true, false}},
		{"three", post + get + post, []bool{true, true, false}},
		{"part of a second", get + get[:len(get)-1], []bool{false}},
		{"long line", strings.Replace(get, "Host", "Via: "+strings.Repeat("x", 200)+"\r\nHost", 1) + get, []bool{true, false}},
		{"chunks", "POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, []bool{false, false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := make(chan bool, 8)
			_, _, address := start(t, func(_ http.ResponseWriter, r *http.Request) { got <- HasNext(r) })
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprint(conn, test.sent)
			for i, want := range test.want {
				select {
				case got := <-got:
					if got != want {
						t.Errorf("request %d: got %v, want %v", i+1, got, want)
					}
				case <-time.After(5 * time.Second):
					t.Fatalf("request %d: not served", i+1)
				}
			}
		})
	}
}
