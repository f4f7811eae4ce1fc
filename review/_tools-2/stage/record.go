package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. Its times are seconds since the start of the script.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
	// isBackground reports whether requests for a target are only counted; nil reports that none are.
	isBackground func(target string) bool
	counts       map[string]int
	countedAt    time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// since returns the seconds from the start of the script to an instant.
func (r *record) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.since(time.Now()), fmt.Sprintf(format, args...))
}

// addRequest writes one line about a request, or counts it if it belongs to the background.
func (r *record) addRequest(target, kind, format string, args ...any) {
	if r.isBackground == nil || !r.isBackground(target) {
		r.add(format, args...)
		return
	}
	r.mu.Lock()
	if r.counts == nil {
		r.counts = make(map[string]int)
	}
	r.counts[kind]++
	text := ""
	if time.Since(r.countedAt) >= time.Second {
		text = fmt.Sprint(r.counts)
		r.counts, r.countedAt = nil, time.Now()
	}
	r.mu.Unlock()
	if text != "" {
		r.add("background requests since the last such line: %s", text)
	}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
