// Package logbuf provides an io.Writer for log lines that never blocks the code that logs:
//
//	w := logbuf.New(os.Stdout)
//	log := logr.FromSlogHandler(slog.NewJSONHandler(w, nil))
//	go w.Run(ctx)
//
// Lines are buffered up to a fixed size and written by the goroutine that calls Run. Lines that do not
// fit are dropped, and a later line in the log reports how many.
package logbuf

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// bufferBytes is the size of the buffer, enough for about one second of logs of a loaded daemon.
const bufferBytes = 256 << 10

// Writer buffers log lines. Each call of Write must pass exactly one complete line.
type Writer struct {
	// Dropped counts the lines dropped because the buffer was full.
	Dropped atomic.Int64

	out      io.Writer
	mu       sync.Mutex
	pending  bytes.Buffer
	reported int64 // dropped lines that the log has reported
	signal   chan struct{}
}

// New returns a writer to out. Run or Flush must be called to write the buffered lines.
func New(out io.Writer) *Writer {
	return &Writer{out: out, signal: make(chan struct{}, 1)}
}

// Write buffers one line, or drops it when the buffer is full. It never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.pending.Len()+len(line) > bufferBytes {
		w.Dropped.Add(1)
	} else {
		w.pending.Write(line)
	}
	w.mu.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes buffered lines until ctx is cancelled, and then the remaining ones.
func (w *Writer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-w.signal:
		case <-ctx.Done():
		}
		w.Flush()
	}
}

// Flush writes all buffered lines.
func (w *Writer) Flush() {
	w.mu.Lock()
	lines := append([]byte(nil), w.pending.Bytes()...)
	w.pending.Reset()
	if dropped := w.Dropped.Load(); dropped > w.reported {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped-w.reported)
		w.reported = dropped
	}
	w.mu.Unlock()
	// An error is ignored: there is no other output to report it to.
	_, _ = w.out.Write(lines)
}
