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

// PaymentServer is a plain service whose deposits must not be repeated. It runs what it is sent and
// counts it; it does not look for repeated keys itself.
type PaymentServer struct {
	Announcer
	// RunLog is shared by all replicas of the ledger.
	RunLog *RunLog
	// ProcessingTime is the time that a deposit takes.
	ProcessingTime time.Duration
	// DropResponse, when set, is asked before an answer is sent; true closes the connection.
	DropResponse func() bool
}

// RunLog counts the deposits that were run by idempotency key.
type RunLog struct {
	mu   sync.Mutex
	runs map[string]int
}

// Add counts one execution.
func (b *RunLog) Add(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == nil {
		b.runs = make(map[string]int)
	}
	b.runs[key]++
}

// Runs returns how often the deposit with the key was run.
func (b *RunLog) Runs(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

// Start listens on a loopback port and begins to announce the ledger.
func (l *PaymentServer) Start(ctx context.Context) error {
	l.Kind = "plain"
	mux := http.NewServeMux()
	mux.HandleFunc("POST /deposits", l.deposit)
	mux.HandleFunc("GET /calls/{key...}", l.outcome)
	return l.start(ctx, mux, ledgerSlots)
}

// ledgerSlots is the number of deposits that a ledger runs at once.
const ledgerSlots = 16

func (l *PaymentServer) deposit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	l.RunLog.Add(key)
	sleep(context.Background(), l.ProcessingTime)
	if l.DropResponse != nil && l.DropResponse() {
		panic(http.ErrAbortHandler)
	}
	writeReceipt(w, key, len(body))
}

func writeReceipt(w http.ResponseWriter, key string, size int) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"receipt":%q,"bytes":%d}`, key, size)
}

func (l *PaymentServer) outcome(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimSpace(r.PathValue("key"))
	if l.RunLog.Runs(key) == 0 {
		http.NotFound(w, r)
		return
	}
	writeReceipt(w, key, 0)
}
