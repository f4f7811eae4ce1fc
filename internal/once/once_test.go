package once

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"swiftbeam/internal/fault"
	_ "swiftbeam/internal/repro"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// journal is a replicated journal without the replication. A proposal may fail before or after
// it took effect, or be slow.
type journal struct {
	mu      sync.Mutex
	clock   *clock.Manual
	state   state.State
	changed chan struct{}
	faults  []journalFault
}

type journalFault uint8

const (
	works journalFault = iota
	lostBefore
	lostAfter
	slow
)

func (j *journal) Propose(_ context.Context, body state.Body) (state.Result, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	mode := works
	if _, begins := body.(state.OnceBegin); begins && len(j.faults) > 0 {
		mode, j.faults = j.faults[0], j.faults[1:]
	}
	if mode == lostBefore {
		return state.Result{}, fault.New(fault.Unavailable, "no leader")
	}
	result := j.state.Apply(j.state.Applied+1, state.Command{At: j.clock.Now(), Body: body})
	close(j.changed)
	j.changed = make(chan struct{})
	switch mode {
	case lostAfter:
		return state.Result{}, fault.New(fault.Unknown, "no answer")
	case slow:
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

// bank is the backend server: it counts what it runs and fails as it is told.
type bank struct {
	mu     sync.Mutex
	runs   map[string]int
	faults []bankFault
}

type bankFault uint8

const (
	answers bankFault = iota
	refusesConnection
	diesBefore
	diesAfter
	diesAfterAndForgets
)

func (b *bank) RoundTrip(r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.Method == http.MethodGet {
		return b.outcome(strings.TrimPrefix(r.URL.Path, "/calls/"))
	}
	mode := answers
	if len(b.faults) > 0 {
		mode, b.faults = b.faults[0], b.faults[1:]
	}
	key := r.Header.Get("Idempotency-Key")
	switch mode {
	case refusesConnection:
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	case diesBefore:
		return nil, errors.New("connection reset")
	}
	b.runs[key]++
	if mode == diesAfter {
		return nil, errors.New("connection reset")
	}
	if mode == diesAfterAndForgets {
		b.runs[key+" hidden"] = b.runs[key]
		return nil, errors.New("connection reset")
	}
	return response(http.StatusOK, "receipt for "+key), nil
}

func (b *bank) outcome(key string) (*http.Response, error) {
	if b.runs[key] == 0 || b.runs[key+" hidden"] > 0 {
		return response(http.StatusNotFound, ""), nil
	}
	return response(http.StatusOK, "receipt for "+key), nil
}

func response(status int, text string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString(text))}
}

// TestStatefulAtMostOnce sends calls with few keys through several daemons, while the journal
// and the backend server fail, and counts what was run.
func TestStatefulAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOnceWorld(t)
		defer w.close()
		t.Repeat(map[string]func(*rapid.T){
			"call":         w.call,
			"journalFails": func(t *rapid.T) { w.journal.faults = append(w.journal.faults, drawFault(t, slow)) },
			"bankFails":    func(t *rapid.T) { w.bank.faults = append(w.bank.faults, drawFault(t, diesAfterAndForgets)) },
			"":             w.check,
		})
	})
}

func drawFault[F ~uint8](t *rapid.T, most F) F {
	return F(rapid.IntRange(0, int(most)).Draw(t, "fault"))
}

type onceWorld struct {
	clock   *clock.Manual
	journal *journal
	bank    *bank
	daemons []*Caller
	group   *runner.Group
	cancel  context.CancelFunc
	calls   int
	// answers and bodies are those of the calls that were answered, by key.
	answers map[string]string
	bodies  map[string]string
}

func newOnceWorld(*rapid.T) *onceWorld {
	ctx, cancel := context.WithCancel(context.Background())
	w := &onceWorld{
		clock: &clock.Manual{}, bank: &bank{runs: map[string]int{}}, group: &runner.Group{}, cancel: cancel,
		answers: map[string]string{}, bodies: map[string]string{},
	}
	w.clock.Set(1_000_000)
	w.journal = &journal{clock: w.clock, changed: make(chan struct{})}
	servers := &roster.Roster{Clock: w.clock, Lease: clock.Hour}
	servers.Announce(fleet.Backend{Service: "ledger", Version: "v1", Address: "10.0.0.1:1", Incarnation: 1, Sequence: 1, Slots: 4})
	servers.Announce(fleet.Backend{Service: "ledger", Version: "v1", Address: "10.0.0.2:1", Incarnation: 1, Sequence: 1, Slots: 4})
	for i := range 3 {
		c := &Caller{
			Self: fmt.Sprintf("d%d", i), Clock: w.clock, Journal: w.journal, Servers: servers,
			HTTP: &http.Client{Transport: w.bank},
		}
		_ = c.Start(ctx, w.group)
		w.daemons = append(w.daemons, c)
	}
	return w
}

func (w *onceWorld) close() {
	w.cancel()
	w.group.Wait()
}

func (w *onceWorld) call(t *rapid.T) {
	w.calls++
	key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
	q := Call{
		OnceKey: state.OnceKey{Account: "acc", Route: "deposits", Key: key}, Request: fmt.Sprintf("r%d", w.calls),
		Service: "ledger", Version: func() string { return "v1" }, Method: http.MethodPost, Path: "/deposits",
		Body: []byte(body), Timeout: clock.Second,
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // a pending call of another daemon is not waited for
	before := w.runs(key)
	answer, err := w.daemons[rapid.IntRange(0, 2).Draw(t, "daemon")].Do(ctx, q)
	w.group.Wait()
	switch {
	case err == nil && w.runs(key) == 0:
		t.Fatalf("key %s was answered %q and never run", key, answer.Body)
	case err == nil:
		if old, seen := w.answers[key]; seen && old != string(answer.Body) {
			t.Fatalf("key %s: got answer %q, want %q as before", key, answer.Body, old)
		}
		if old, seen := w.bodies[key]; seen && old != body {
			t.Fatalf("key %s was answered for body %q, want an error since %q had it", key, body, old)
		}
		w.answers[key], w.bodies[key] = string(answer.Body), body
	case fault.KindOf(err) != fault.Unknown && w.runs(key) != before:
		t.Fatalf("key %s was refused as not run (%v) and run", key, err)
	}
}

func (w *onceWorld) runs(key string) int {
	w.bank.mu.Lock()
	defer w.bank.mu.Unlock()
	return w.bank.runs["acc/deposits/"+key]
}

func (w *onceWorld) check(t *rapid.T) {
	for _, key := range []string{"k1", "k2", "k3"} {
		if got := w.runs(key); got > 1 {
			t.Fatalf("key %s: got %d runs, want at most 1", key, got)
		}
	}
}

// TestNoRepeatByTheHTTPClient closes a reused connection after the call was read. An HTTP client
// that may replay the body sends such a call again by itself.
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
	c := &Caller{HTTP: &http.Client{Transport: &http.Transport{}}}
	_ = c.Start(ctx, &runner.Group{})
	q := Call{OnceKey: state.OnceKey{Key: "k"}, Method: http.MethodPost, Path: "/", Body: []byte("deposit"), Timeout: clock.Second}
	if _, err := c.post(q, l.Addr().String()); err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	if _, err := c.post(q, l.Addr().String()); err == nil {
		t.Fatal("got no error, want one for the closed connection")
	}
	mu.Lock()
	defer mu.Unlock()
	if got, want := runs, 2; got != want {
		t.Errorf("got %d runs for 2 calls, want %d", got, want)
	}
}
