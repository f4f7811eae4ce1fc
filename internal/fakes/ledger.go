package fakes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// PaymentServer is a fake backend server of a plain service whose deposits must not be repeated. It
// executes and counts every deposit that it receives, including those with a repeated idempotency key.
type PaymentServer struct {
	Announcer
	// RunLog is shared by all replicas of the service.
	RunLog *RunLog
	// ProcessingTime is the time that one deposit takes.
	ProcessingTime time.Duration
	// DropResponse, if set, is called before a response is sent. If it returns true, the connection is
	// closed without a response.
	DropResponse func() bool
	// Crashes reports whether the server crashes when it begins a deposit; nil means never.
	Crashes func(body string) bool
}

// RunLog counts the executions of deposits by idempotency key.
type RunLog struct {
	mu   sync.Mutex
	runs map[string]int
}

// Add counts one execution of the deposit with the key.
func (l *RunLog) Add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string]int)
	}
	l.runs[key]++
}

// Runs returns the number of executions of the deposit with the key.
func (l *RunLog) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// Start serves on a loopback port and begins to announce the server.
func (p *PaymentServer) Start(ctx context.Context) error {
	p.Kind = "plain"
	mux := http.NewServeMux()
	mux.HandleFunc("POST /deposits", p.deposit)
	mux.HandleFunc("GET /calls/{key...}", p.outcome)
	return p.start(ctx, mux, paymentSlots)
}

// paymentSlots is the number of concurrent deposits that a server announces as its capacity.
const paymentSlots = 16

func (p *PaymentServer) deposit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	p.RunLog.Add(key)
	if p.Crashes != nil && p.Crashes(string(body)) {
		p.Kill()
		return
	}
	sleep(context.Background(), p.ProcessingTime)
	if p.DropResponse != nil && p.DropResponse() {
		panic(http.ErrAbortHandler)
	}
	writeReceipt(w, key, len(body))
}

func writeReceipt(w http.ResponseWriter, key string, size int) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"receipt":%q,"bytes":%d}`, key, size)
}

func (p *PaymentServer) outcome(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimSpace(r.PathValue("key"))
	if p.RunLog.Runs(key) == 0 {
		http.NotFound(w, r)
		return
	}
	writeReceipt(w, key, 0)
}
