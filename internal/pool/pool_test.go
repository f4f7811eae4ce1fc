package pool

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"swiftbeam/internal/ports"
	"swiftbeam/pkg/clock"
)

// serveAnswers answers each request with the next text from a channel.
func serveAnswers(t *testing.T, answers <-chan string) string {
	t.Helper()
	address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := io.WriteString(conn, <-answers); err != nil {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// TestHeadCutShortIsNotMergedWithTheNext guards against fields of an earlier response that was cut off within its head.
func TestHeadCutShortIsNotMergedWithTheNext(t *testing.T) {
	const id, answer = "new", "HTTP/1.1 200 OK\r\nX-Id: new\r\nX-Signature: right\r\nContent-Length: 4\r\n\r\nfine"
	answers := make(chan string, 1)
	address := serveAnswers(t, answers)
	p := &Pool{Clock: clock.Start()}
	for _, earlier := range []string{
		"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Server: a\r\nX-Id: old\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-Signature: wrong\r\nX-Server: a\r\nContent-Length: 0\r\n\r\n",
	} {
		for cut := range len(earlier) + 1 {
			c, err := p.Get(context.Background(), address, 0)
			if err != nil {
				t.Fatal(err)
			}
			answers <- earlier[:cut] + answer
			if _, err := c.Send([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil); err != nil {
				t.Fatal(err)
			}
			c.SetDeadline(time.Now().Add(5 * time.Second))
			response, err := c.Receive(http.MethodGet, func(h http.Header) bool { return h.Get("X-Id") == id })
			whole := cut == 0 || cut == len(earlier)
			if err != nil && whole {
				t.Errorf("earlier response %q: got error %v, want the next response", earlier[:cut], err)
			}
			if err == nil {
				if got := response.StatusCode; got != http.StatusOK || response.Header.Get("X-Not-Run") != "" || response.Header.Get("X-Signature") != "right" {
					t.Errorf("earlier response %q: got status %d with %v, want none of its fields", earlier[:cut], got, response.Header)
				}
				response.Body.Close()
			}
			c.Release(false)
		}
	}
}

// TestRefusalsThatMayBeOldAreNotTrusted guards against refusals that a server writes again on a kept connection.
func TestRefusalsThatMayBeOldAreNotTrusted(t *testing.T) {
	answers := make(chan string, 1)
	address := serveAnswers(t, answers)
	p := &Pool{Clock: clock.Start()}
	refusal := func(id string) string {
		return "HTTP/1.1 503 Full\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	refuse := func(id, answer string) (trusted, reused bool) {
		t.Helper()
		c, err := p.Get(context.Background(), address, 0)
		if err != nil {
			t.Fatal(err)
		}
		reused = c.Reused
		answers <- answer
		if _, err := c.Send([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil); err != nil {
			t.Fatal(err)
		}
		response, err := c.Receive(http.MethodGet, func(h http.Header) bool { return h.Get("X-Id") == id })
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		trusted = c.TrustsRefusal(id)
		c.Release(trusted)
		return trusted, reused
	}
	for _, test := range []struct {
		name, id, answer string
		trusted, reused  bool
	}{
		{"first", "a", refusal("a"), true, false},
		{"second", "b", refusal("b"), true, true},
		{"refused before", "a", refusal("a"), false, true},
		{"refused before on another connection", "b", refusal("b"), true, false},
		{"after one of another request", "c", refusal("b") + refusal("c"), false, true},
		{"without an id", "", refusal(""), false, false},
	} {
		if trusted, reused := refuse(test.id, test.answer); trusted != test.trusted || reused != test.reused {
			t.Errorf("%s: got trusted %v on a kept connection %v, want %v on %v", test.name, trusted, reused, test.trusted, test.reused)
		}
	}
	for i := range 3*maxRefused + 1 {
		id := strconv.Itoa(i)
		if trusted, reused := refuse(id, refusal(id)); !trusted || reused != (i%maxRefused != 0) {
			t.Errorf("refusal %d: got trusted %v on a kept connection %v, want a new connection for each %d", i, trusted, reused, maxRefused)
		}
	}
}

// TestProbedConnectionWithBytesIsNotUsed guards against a refusal that a server writes before any request.
func TestProbedConnectionWithBytesIsNotUsed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	written := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
		close(written)
	}()
	p := &Pool{Clock: clock.Start()}
	if _, err := p.Probe(context.Background(), l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	<-written
	time.Sleep(10 * time.Millisecond)
	c, err := p.Get(context.Background(), l.Addr().String(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Release(false)
	if c.Reused {
		t.Error("got the connection of the probe, want a new one")
	}
}

// TestBodyOfAnEarlyResponseIsNotWrittenForEver guards against goroutines that outlive the connection of a long body.
func TestBodyOfAnEarlyResponseIsNotWrittenForEver(t *testing.T) {
	const requests = 20
	address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
		}
		time.Sleep(100 * time.Millisecond)
	})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	p := &Pool{Clock: clock.Start()}
	body := make([]byte, 16<<20)
	before := runtime.NumGoroutine()
	for range requests {
		c, err := p.Get(context.Background(), address, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Send([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body); err != nil {
			t.Fatal(err)
		}
		response, err := c.Receive(http.MethodPost, func(http.Header) bool { return true })
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		c.Release(true)
	}
	got := runtime.NumGoroutine() - before
	for deadline := time.Now().Add(5 * time.Second); got > 0 && time.Now().Before(deadline); got = runtime.NumGoroutine() - before {
		time.Sleep(10 * time.Millisecond)
	}
	if got > 0 {
		t.Errorf("goroutines after %d requests: got %d more, want none", requests, got)
	}
}

// TestInterimResponsesAreNoOtherResponses guards against a request that is given up after a few interim responses.
func TestInterimResponsesAreNoOtherResponses(t *testing.T) {
	answers := make(chan string, 1)
	address := serveAnswers(t, answers)
	p := &Pool{Clock: clock.Start()}
	for interim, reused := range []bool{false, true, true, true, true, true, true, true} {
		c, err := p.Get(context.Background(), address, 0)
		if err != nil {
			t.Fatal(err)
		}
		answers <- strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", interim) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		if _, err := c.Send([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil); err != nil {
			t.Fatal(err)
		}
		response, err := c.Receive(http.MethodGet, func(http.Header) bool { return true })
		if err != nil || response.StatusCode != http.StatusOK || c.Reused != reused {
			t.Fatalf("%d interim responses on a kept connection %v: got %v, error %v, want 200 on %v", interim, c.Reused, response, err, reused)
		}
		response.Body.Close()
		c.Release(true)
	}
}

// TestResetIsKnownWhenOnlyTheWriterWasTold lets a server reset the connection while a long body is written, and reads only
// afterwards. The reader finds the end of the connection, as after a response that ends with it.
func TestResetIsKnownWhenOnlyTheWriterWasTold(t *testing.T) {
	for _, resets := range []bool{false, true} {
		address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
			reader := bufio.NewReader(conn)
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			if resets {
				_ = conn.SetLinger(0)
			} else {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_ = conn.Close()
		})
		if err != nil {
			t.Fatal(err)
		}
		c, err := (&Pool{Clock: clock.Start()}).Get(t.Context(), address, 0)
		if err != nil {
			t.Fatal(err)
		}
		const size = 8 << 20
		if _, err := c.Send(fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size), make([]byte, size)); err != nil {
			t.Fatal(err)
		}
		c.bodyWritten <- <-c.bodyWritten
		response, err := c.Receive(http.MethodPost, func(http.Header) bool { return true })
		if err != nil {
			// The part may be lost with the connection, but does not look whole then.
			continue
		}
		body, err := io.ReadAll(response.Body)
		if whole := err == nil && !c.WasReset(); whole == resets {
			t.Errorf("resets %v: got %q, error %v, reset %v; want a whole body: %v", resets, body, err, c.WasReset(), !resets)
		}
		response.Body.Close()
		c.Release(false)
	}
}
