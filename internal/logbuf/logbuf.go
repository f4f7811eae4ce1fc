// Package logbuf writes logs as JSON lines without ever holding up the code that logs:
//
//	w := logbuf.New(os.Stdout)
//	log := logr.FromSlogHandler(slog.NewJSONHandler(w, nil))
//	go w.Run(ctx)
//
// Lines wait in a bounded ring for the one goroutine that writes them. Lines that find it full are
// dropped and counted, and a later line tells how many.
package logbuf

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// ringBytes bounds the lines that wait; about a second of logs of a busy daemon.
const ringBytes = 256 << 10

// Writer takes whole lines, one for each call of Write.
type Writer struct {
	// Dropped counts the lines that found the ring full.
	Dropped atomic.Int64

	out     io.Writer
	mu      sync.Mutex
	waiting bytes.Buffer
	told    int64
	wake    chan struct{}
}

// New returns a writer to out. Lines appear while Run runs.
func New(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write takes one line. It never blocks on the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.waiting.Len()+len(line) > ringBytes {
		w.Dropped.Add(1)
	} else {
		w.waiting.Write(line)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes what was taken until ctx ends, then writes the rest.
func (w *Writer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-w.wake:
		case <-ctx.Done():
		}
		w.Flush()
	}
}

// Flush writes all waiting lines.
func (w *Writer) Flush() {
	w.mu.Lock()
	lines := append([]byte(nil), w.waiting.Bytes()...)
	w.waiting.Reset()
	if dropped := w.Dropped.Load(); dropped > w.told {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped-w.told)
		w.told = dropped
	}
	w.mu.Unlock()
	// There is no other place to report that the logs cannot be written.
	_, _ = w.out.Write(lines)
}
