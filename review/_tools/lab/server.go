package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a replica: it announces itself, checks Expect-Replica, signs its answers and echoes the
// ID of the request.
type server struct {
	d       *deployment
	plan    servicePlan
	n       int
	id      string
	address string
	born    int64

	listener net.Listener
	http     *http.Server
	cancel   context.CancelFunc
	sequence atomic.Uint64
	once     sync.Once
	gone     atomic.Bool
	// state is what the server announces.
	state atomic.Value
}

// behaviour replaces the work of servers. It reports whether it has answered.
type behaviour func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool

// setBehaviour sets the behaviour of all servers; nil stands for sound servers.
func (d *deployment) setBehaviour(b behaviour) { d.behaviour.Store(&b) }

// addServer starts a server at an address of its own.
func (d *deployment) addServer(p servicePlan) (*server, error) {
	d.mu.Lock()
	d.nextID++
	n := d.nextID
	d.mu.Unlock()
	return d.startServer(p, n)
}

// startServer starts a server at the nth address. Each start has a new ID.
func (d *deployment) startServer(p servicePlan, n int) (*server, error) {
	s := &server{d: d, plan: p, n: n, id: fmt.Sprintf("i-%08x", rand.Uint32()), address: fmt.Sprintf("%s:%d", d.host(100+n), serverPort), born: time.Now().UnixMilli()}
	s.state.Store("ready")
	var err error
	for range 50 {
		if s.listener, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(s.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.announce(ctx)
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	d.note("server %s of %s starts at %s", s.id, p.name, s.address)
	return s, nil
}

// announce sends heartbeats until ctx ends.
func (s *server) announce(ctx context.Context) {
	core := rand.IntN(s.d.plan.cores)
	for ctx.Err() == nil {
		for range s.d.plan.cores {
			if s.heartbeat(ctx, s.d.cores()[core]) || ctx.Err() != nil {
				break
			}
			core = (core + 1) % s.d.plan.cores
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat + time.Duration(rand.IntN(100)-50)*time.Millisecond):
		}
	}
}

// heartbeat sends a heartbeat to a core daemon and reports whether it was acknowledged within a second. If heartbeats
// are late, it is on its way for longer, and arrives even if the server has crashed meanwhile.
func (s *server) heartbeat(ctx context.Context, x *daemon) bool {
	text := s.beat()
	late := time.Duration(s.d.beatDelay.Load())
	if late == 0 {
		return s.deliver(ctx, x, text)
	}
	go func() {
		time.Sleep(late)
		s.deliver(context.Background(), x, text)
	}()
	pause(ctx, time.Second)
	return false
}

// beat returns the body of the next heartbeat.
func (s *server) beat() []byte {
	body := map[string]any{
		"service": s.plan.name, "address": s.address, "zone": s.d.zone(s.n), "version": "v1", "slots": s.plan.slots, "state": s.state.Load(),
		"coldRemainingMs": 0, "sequence": s.sequence.Add(1), "born": s.born,
	}
	if s.plan.engine {
		body["stage"], body["models"] = "both", []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	text, _ := json.Marshal(body)
	return text
}

// deliver posts a heartbeat. It reports whether it was acknowledged.
func (s *server) deliver(ctx context.Context, x *daemon, text []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/Replicas.Heartbeat/%s", x.address, controlPort, s.id), bytes.NewReader(text))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// crash ends the server at once: its port refuses connections, and its connections break.
func (s *server) crash() {
	s.once.Do(func() {
		s.gone.Store(true)
		s.cancel()
		_ = s.http.Close()
	})
}

// crashFor ends the server, and starts another one at its address after a time.
func (s *server) crashFor(t time.Duration) {
	s.crash()
	time.AfterFunc(t, func() {
		s.d.mu.Lock()
		stopped := s.d.stopped
		s.d.mu.Unlock()
		if !stopped {
			_, _ = s.d.startServer(s.plan, s.n)
		}
	})
}

// runningServer returns the server at the address of the nth one that started; nil if it is down.
func (d *deployment) runningServer(n int) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		if s.n == 1+n && !s.gone.Load() {
			return s
		}
	}
	return nil
}

// Answers of the sound server.
const (
	minEvents = 8
	eventTime = 25 * time.Millisecond
	workTime  = 60 * time.Millisecond
)

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	h["Date"] = nil
	h.Set("Attempt-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if n := s.d.brittle.Load(); n > 0 {
		h.Set("Server-Brittle", strconv.FormatInt(n, 10))
	}
	if r.URL.Path == "/healthz" {
		h.Set("Replica-Id", s.id)
		return
	}
	if id == "" || r.Header.Get("Expect-Replica") != s.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.d.note("server %s begins %s", s.id, id)
	if b := s.d.behaviour.Load(); b != nil && *b != nil && (*b)(s, w, r, body) {
		return
	}
	s.answer(w, r)
}

// answer answers as a sound server.
func (s *server) answer(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Attempt-Id")
	h.Set("Replica-Signature", "3e1b."+s.id+"."+id)
	if s.plan.engine {
		h.Set("Weight-Versions", "1")
		h.Set("Content-Type", "text/event-stream")
		first := 0
		if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = n + 1
		}
		for i := first; i < max(s.plan.events, minEvents); i++ {
			if !pause(r.Context(), max(s.plan.eventTime, eventTime)) {
				return
			}
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
		return
	}
	if !pause(r.Context(), workTime) {
		return
	}
	text := "result of " + id
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// pause waits for t. It reports false if ctx ends before.
func pause(ctx context.Context, t time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}
