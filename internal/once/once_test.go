package once

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"swiftbeam/internal/engine"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/ports"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// journal is a journal without replication. A proposal can fail before or after it was applied, or
// be slow.
type journal struct {
	mu      sync.Mutex
	clock   *clock.Manual
	state   state.State
	changed chan struct{}
	faults  []journalFault
}

type journalFault uint8

const (
	noJournalFault journalFault = iota
	failsBeforeApply
	failsAfterApply
	slowApply
)

func (j *journal) Propose(_ context.Context, body state.Body) (state.Result, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	mode := noJournalFault
	if _, begins := body.(state.OnceBegin); begins && len(j.faults) > 0 {
		mode, j.faults = j.faults[0], j.faults[1:]
	}
	if mode == failsBeforeApply {
		return state.Result{}, fault.New(fault.Unavailable, "no leader")
	}
	result := j.state.Apply(j.state.Applied+1, state.Command{At: j.clock.Now(), Body: body})
	close(j.changed)
	j.changed = make(chan struct{})
	switch mode {
	case failsAfterApply:
		return state.Result{}, fault.New(fault.Unknown, "no answer")
	case slowApply:
		j.clock.Advance(SendWindow + 1)
	}
	return result, nil
}

func (j *journal) View(f func(*state.State)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f(&j.state)
}

func (j *journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// paymentServer is a fake backend server, used as HTTP transport. It counts the runs of each call
// and fails as listed in faults.
type paymentServer struct {
	mu     sync.Mutex
	runs   map[string]int
	faults []serverFault
}

type serverFault uint8

const (
	noServerFault serverFault = iota
	refusesConnection
	resetsBeforeRun
	resetsAfterRun
	resetsAfterRunWithoutRecord
)

func (p *paymentServer) RoundTrip(r *http.Request) (*http.Response, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodGet {
		return p.outcome(strings.TrimPrefix(r.URL.Path, "/calls/"))
	}
	mode := noServerFault
	if len(p.faults) > 0 {
		mode, p.faults = p.faults[0], p.faults[1:]
	}
	key := r.Header.Get("Idempotency-Key")
	switch mode {
	case refusesConnection:
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	case resetsBeforeRun:
		return nil, errors.New("connection reset")
	}
	p.runs[key]++
	if mode == resetsAfterRun {
		return nil, errors.New("connection reset")
	}
	if mode == resetsAfterRunWithoutRecord {
		p.runs[key+" hidden"] = p.runs[key]
		return nil, errors.New("connection reset")
	}
	return response(http.StatusOK, "receipt for "+key), nil
}

func (p *paymentServer) outcome(key string) (*http.Response, error) {
	if p.runs[key] == 0 || p.runs[key+" hidden"] > 0 {
		return response(http.StatusNotFound, ""), nil
	}
	return response(http.StatusOK, "receipt for "+key), nil
}

func response(status int, text string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString(text))}
}

// TestStatefulAtMostOnce sends calls that share a few keys through several daemons while the journal
// and the backend server fail. It checks that no key runs twice, that a call reported as not run did
// not run, and that all responses for one key are equal.
func TestStatefulAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		defer h.close()
		t.Repeat(map[string]func(*rapid.T){
			"call":         h.call,
			"journalFails": func(t *rapid.T) { h.journal.faults = append(h.journal.faults, drawFault(t, slowApply)) },
			"bankFails":    func(t *rapid.T) { h.server.faults = append(h.server.faults, drawFault(t, resetsAfterRunWithoutRecord)) },
			"":             h.check,
		})
	})
}

func drawFault[F ~uint8](t *rapid.T, last F) F {
	return F(rapid.IntRange(0, int(last)).Draw(t, "fault"))
}

type harness struct {
	clock   *clock.Manual
	journal *journal
	server  *paymentServer
	daemons []*Executor
	group   *runner.Group
	cancel  context.CancelFunc
	calls   int
	// answers and bodies contain the response and the request body of the answered calls by key.
	answers map[string]string
	bodies  map[string]string
}

func newHarness(*rapid.T) *harness {
	ctx, cancel := context.WithCancel(context.Background())
	h := &harness{
		clock: &clock.Manual{}, server: &paymentServer{runs: map[string]int{}}, group: &runner.Group{}, cancel: cancel,
		answers: map[string]string{}, bodies: map[string]string{},
	}
	h.clock.Set(1_000_000)
	h.journal = &journal{clock: h.clock, changed: make(chan struct{})}
	servers := &roster.Roster{Clock: h.clock, Lease: clock.Hour}
	servers.Announce(fleet.Backend{Service: "ledger", Version: "v1", Address: "10.0.0.1:1", Incarnation: 1, Sequence: 1, Slots: 4})
	servers.Announce(fleet.Backend{Service: "ledger", Version: "v1", Address: "10.0.0.2:1", Incarnation: 1, Sequence: 1, Slots: 4})
	for i := range 3 {
		c := &Executor{
			Self: fmt.Sprintf("d%d", i), Clock: h.clock, Journal: h.journal, Servers: servers,
			HTTP: &http.Client{Transport: h.server},
		}
		_ = c.Start(ctx, h.group)
		h.daemons = append(h.daemons, c)
	}
	return h
}

func (h *harness) close() {
	h.cancel()
	h.group.Wait()
}

func (h *harness) call(t *rapid.T) {
	h.calls++
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
	q := Call{
		OnceKey: state.OnceKey{Account: "acc", Route: "deposits", Key: key}, Request: fmt.Sprintf("r%d", h.calls),
		Service: "ledger", Version: func() string { return "v1" }, Method: http.MethodPost, Path: "/deposits",
		Body: []byte(body), Timeout: clock.Second,
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // do not wait for a pending call of another daemon
	before := h.runs(key)
	answer, err := h.daemons[rapid.IntRange(0, 2).Draw(t, "daemon")].Do(ctx, q)
	h.group.Wait()
	switch {
	case err == nil && h.runs(key) == 0:
		t.Fatalf("key %s: got answer %q for a call that never ran", key, answer.Body)
	case err == nil:
		if earlier, seen := h.answers[key]; seen && earlier != string(answer.Body) {
			t.Fatalf("key %s: got answer %q, want %q as for the earlier request", key, answer.Body, earlier)
		}
		if earlier, seen := h.bodies[key]; seen && earlier != body {
			t.Fatalf("key %s: got an answer for body %q, want an error because body %q used the key before", key, body, earlier)
		}
		h.answers[key], h.bodies[key] = string(answer.Body), body
	case fault.KindOf(err) != fault.Unknown && h.runs(key) != before:
		t.Fatalf("key %s: got error %v, which reports that the call did not run, but it ran", key, err)
	}
}

func (h *harness) runs(key string) int {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	return h.server.runs["acc/deposits/"+key]
}

func (h *harness) check(t *rapid.T) {
	for _, key := range []string{"k1", "k2", "k3"} {
		if got := h.runs(key); got > 1 {
			t.Fatalf("key %s: got %d runs, want at most 1", key, got)
		}
	}
}

// TestNoRepeatByTheHTTPClient guards against retries by the HTTP client: when the server closes a
// reused connection after it has read the call, a client that can rewind the body sends the call
// again.
func TestNoRepeatByTheHTTPClient(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	runs := 0
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		mu.Lock()
		runs++
		second := runs > 1
		mu.Unlock()
		if second {
			panic(http.ErrAbortHandler)
		}
	})}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &Executor{HTTP: &http.Client{Transport: &http.Transport{}}}
	_ = c.Start(ctx, &runner.Group{})
	q := Call{OnceKey: state.OnceKey{Key: "k"}, Method: http.MethodPost, Path: "/", Body: []byte("deposit"), Timeout: clock.Second}
	if _, err := c.post(q, l.Addr().String()); err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	if _, err := c.post(q, l.Addr().String()); err == nil {
		t.Fatal("got no error, want an error for the closed connection")
	}
	mu.Lock()
	defer mu.Unlock()
	if got, want := runs, 2; got != want {
		t.Errorf("got %d runs for 2 calls, want %d", got, want)
	}
}

// endlessBody is a body without end. It counts the bytes that were read.
type endlessBody struct{ read atomic.Int64 }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

func (b *endlessBody) Close() error { return nil }

// endlessServer answers each call with a body without end.
type endlessServer struct{ bodies sync.Map }

func (e *endlessServer) RoundTrip(*http.Request) (*http.Response, error) {
	body := &endlessBody{}
	e.bodies.Store(body, true)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, ContentLength: -1}, nil
}

// TestEndlessAnswersEnd reads answers without end at the same time. Each must end with an error after a bounded
// number of bytes, without the copies that a growing buffer makes.
func TestEndlessAnswersEnd(t *testing.T) {
	const callers = 8
	server := &endlessServer{}
	c := &Executor{HTTP: &http.Client{Transport: server}, ctx: context.Background()}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var work sync.WaitGroup
	for range callers {
		work.Go(func() {
			r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://server/deposits", nil)
			if err != nil {
				t.Error(err)
				return
			}
			if _, err := c.read(r); err == nil {
				t.Error("got an answer, want an error")
			}
		})
	}
	work.Wait()
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / callers; got > MaxAnswerBytes+1<<20 {
		t.Errorf("allocated for a call: got %d MiB, want at most %d MiB", got>>20, MaxAnswerBytes>>20+1)
	}
	server.bodies.Range(func(body, _ any) bool {
		if got := body.(*endlessBody).read.Load(); got > MaxAnswerBytes+1<<20 {
			t.Errorf("bytes read: got %d MiB, want at most %d MiB", got>>20, MaxAnswerBytes>>20+1)
		}
		return true
	})
}

// TestOldRefusalIsNotRecordedForTheNextCall guards against a refusal that a server writes once more on a kept connection.
func TestOldRefusalIsNotRecordedForTheNextCall(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull"
	var calls, runs atomic.Int64
	address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for kept := false; ; kept = true {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if calls.Add(1) == 1 || kept {
				fmt.Fprint(conn, refusal)
			}
			if calls.Load() > 1 {
				runs.Add(1)
				time.Sleep(10 * time.Millisecond)
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	h := newHarness(nil)
	t.Cleanup(h.close)
	servers := &roster.Roster{Clock: h.clock, Lease: clock.Hour}
	servers.Announce(fleet.Backend{Service: "ledger", Version: "v1", Address: address, Incarnation: 1, Sequence: 1, Slots: 4})
	c := &Executor{Self: "d", Clock: h.clock, Journal: h.journal, Servers: servers, HTTP: engine.NewHTTPClient(nil)}
	if err := c.Start(context.Background(), h.group); err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"full", "fine"} {
		answer, err := c.Do(context.Background(), Call{
			OnceKey: state.OnceKey{Account: "a", Route: "pay", Key: fmt.Sprint("k", i)}, Request: fmt.Sprint("r", i), Service: "ledger",
			Version: func() string { return "v1" }, Method: http.MethodPost, Path: "/pay", Body: []byte("x"), Timeout: clock.Second,
		})
		if got := string(answer.Body); err != nil || got != want {
			t.Errorf("call %d: got %q, error %v, runs %d; want %q", i, got, err, runs.Load(), want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// longAnswers is a server whose answers are longer than the journal keeps. It tells outcomes if hasOutcomes is set.
type longAnswers struct {
	body        string
	hasOutcomes bool
}

func (l *longAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodGet && !l.hasOutcomes {
		return response(http.StatusNotFound, ""), nil
	}
	return response(http.StatusOK, l.body), nil
}

// TestRepeatOfACallWithALongAnswerIsNeverAnsweredWithoutIt repeats a call whose answer the journal does not keep.
func TestRepeatOfACallWithALongAnswerIsNeverAnsweredWithoutIt(t *testing.T) {
	for _, size := range []int{0, state.MaxOnceBodyBytes, state.MaxOnceBodyBytes + 1} {
		for _, hasOutcomes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, outcomes %v", size, hasOutcomes), func(t *testing.T) {
				h := newHarness(nil)
				defer h.close()
				server := &longAnswers{body: strings.Repeat("x", size), hasOutcomes: hasOutcomes}
				c := h.daemons[0]
				c.HTTP = &http.Client{Transport: server}
				q := Call{
					OnceKey: state.OnceKey{Account: "acc", Route: "deposits", Key: "k"}, Request: "r1", Service: "ledger",
					Version: func() string { return "v1" }, Method: http.MethodPost, Path: "/deposits", Timeout: clock.Second,
				}
				if answer, err := c.Do(t.Context(), q); err != nil || string(answer.Body) != server.body {
					t.Fatalf("first call: got %d bytes, error %v, want the answer", len(answer.Body), err)
				}
				q.Request = "r2"
				answer, err := c.Do(t.Context(), q)
				isKept := size <= state.MaxOnceBodyBytes || hasOutcomes
				switch {
				case isKept && (err != nil || string(answer.Body) != server.body || !answer.Replayed):
					t.Errorf("repeated call: got %d bytes, error %v, want %d", len(answer.Body), err, size)
				case !isKept && fault.KindOf(err) != fault.Unknown:
					t.Errorf("repeated call: got %d bytes, error %v, want an error of kind Unknown", len(answer.Body), err)
				}
			})
		}
	}
}

// TestAnswersThatBreakOffAreNoOutcome ends the answer of a server in each framing early.
func TestAnswersThatBreakOffAreNoOutcome(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for _, test := range []struct {
		name, response string
		reset          bool
		complete       bool
	}{
		{"killed server", head + "\r\nrec", false, false},
		{"killed server, length", head + "Content-Length: 7\r\n\r\nreceipt", false, true},
		{"killed server, chunks", head + "Transfer-Encoding: chunked\r\n\r\n7\r\nreceipt\r\n0\r\n\r\n", false, true},
		{"length", head + "Content-Length: 7\r\n\r\nreceipt", false, true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n7\r\nreceipt\r\n0\r\n\r\n", false, true},
		{"until the connection ends", head + "\r\nreceipt", false, true},
		{"length, part of the body", head + "Content-Length: 7\r\n\r\nrec", false, false},
		{"length, no body", head + "Content-Length: 7\r\n\r\n", false, false},
		{"chunks, part of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n7\r\nrec", false, false},
		{"chunks, no last chunk", head + "Transfer-Encoding: chunked\r\n\r\n7\r\nreceipt\r\n", false, false},
		{"until a reset", head + "\r\nrec", true, false},
		{"part of the head", "HTTP/1.1 200 OK\r\nContent-", false, false},
		{"nothing", "", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				// An unread byte would turn the close into a reset.
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.ReadAll(r.Body)
				}
				_, _ = io.WriteString(conn, test.response)
				if strings.HasPrefix(test.name, "killed") {
					// The system closes all sockets of the process, without a reset.
					_ = l.Close()
				}
				if test.reset {
					// The bytes arrive before the reset.
					time.Sleep(20 * time.Millisecond)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			}()
			c := &Executor{HTTP: &http.Client{Transport: &http.Transport{}}}
			_ = c.Start(t.Context(), &runner.Group{})
			q := Call{OnceKey: state.OnceKey{Key: "k"}, Method: http.MethodPost, Path: "/", Body: []byte("deposit"), Timeout: clock.Second}
			answer, err := c.post(q, l.Addr().String())
			if (err == nil) != test.complete || test.complete && string(answer.Body) != "receipt" {
				t.Errorf("got answer %+v, error %v, want a complete answer: %v", answer, err, test.complete)
			}
			if err != nil && engine.NotSent(err) {
				t.Errorf("got error %v, which tells that the call was not sent", err)
			}
		})
	}
}

// TestAnswersCutInTheirHeadAreNoOutcome guards against a server that closed its connection at any byte of the head and whose
// answer passes for an empty one.
func TestAnswersCutInTheirHeadAreNoOutcome(t *testing.T) {
	for _, framing := range []string{"Content-Length: 7", "Transfer-Encoding: chunked"} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + framing + "\r\n\r\n"
		for at := range len(head) + 1 {
			var runs atomic.Int64
			address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.ReadAll(r.Body)
					runs.Add(1)
				}
				_, _ = io.WriteString(conn, head[:at])
			})
			if err != nil {
				t.Fatal(err)
			}
			c := &Executor{HTTP: &http.Client{Transport: &http.Transport{}}}
			_ = c.Start(t.Context(), &runner.Group{})
			q := Call{OnceKey: state.OnceKey{Key: "k"}, Method: http.MethodPost, Path: "/", Body: []byte("deposit"), Timeout: clock.Second}
			answer, err := c.post(q, address)
			if err == nil || engine.NotSent(err) {
				t.Errorf("%s, cut at %d: got answer %+v, error %v, want an unknown outcome", framing, at, answer, err)
			}
			if got := runs.Load(); got != 1 {
				t.Errorf("%s, cut at %d: got %d runs, want 1", framing, at, got)
			}
		}
	}
}

// TestResetsDuringUploadsAreNoOutcome answers a long call in part, without a length, and resets the connection while the call
// is still being written. The system reports the reset to the writer, and an end of the connection to the reader.
func TestResetsDuringUploadsAreNoOutcome(t *testing.T) {
	const calls, size = 10, 8 << 20
	for _, readsOn := range []bool{false, true} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond} {
			t.Run(fmt.Sprintf("reads on %v, after %v", readsOn, pause), func(t *testing.T) {
				address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nrec")
					if readsOn {
						go func() { _, _ = io.Copy(io.Discard, r.Body) }()
					}
					time.Sleep(pause)
					_ = conn.SetLinger(0)
					_ = conn.Close()
				})
				if err != nil {
					t.Fatal(err)
				}
				c := &Executor{HTTP: engine.NewHTTPClient(nil)}
				_ = c.Start(t.Context(), &runner.Group{})
				q := Call{OnceKey: state.OnceKey{Key: "k"}, Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte("x"), size), Timeout: 10 * clock.Second}
				whole := 0
				for range calls {
					answer, err := c.post(q, address)
					if err == nil {
						whole++
						continue
					}
					if engine.NotSent(err) {
						t.Errorf("got answer %+v, error %v, which tells that the call was not sent", answer, err)
					}
				}
				if whole > 0 {
					t.Errorf("got a part of the answer as a whole one in %d of %d calls, want in none", whole, calls)
				}
			})
		}
	}
}

// TestStatusesThatHTTPDoesNotDefineAreNoOutcome lets a server answer with statuses that no final response has.
func TestStatusesThatHTTPDoesNotDefineAreNoOutcome(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.ReadAll(r.Body)
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nContent-Length: 7\r\n\r\nreceipt", status)
		})
		if err != nil {
			t.Fatal(err)
		}
		c := &Executor{HTTP: engine.NewHTTPClient(nil)}
		_ = c.Start(t.Context(), &runner.Group{})
		q := Call{OnceKey: state.OnceKey{Key: "k"}, Method: http.MethodPost, Path: "/", Body: []byte("deposit"), Timeout: clock.Second}
		answer, err := c.post(q, address)
		if err == nil || engine.NotSent(err) {
			t.Errorf("status %s: got answer %+v, error %v, want an unknown outcome", status, answer, err)
		}
	}
}
