// Package stream holds accepted streaming requests and the tokens relayed for them. A Record
// is kept by its holder, the daemon that relays it, and by a mirror in another availability
// zone. A token is shown to the caller only once the mirror has it, so that a resumed stream
// continues exactly where the caller's copy ends.
//
//	r := stream.NewRecord(request)
//	r.Append("Dear ")                      // by the relay
//	r.Show(1)                              // after the mirror answered
//	tokens, end, err := r.Next(ctx, 0)     // by the caller's connection
//
// Invariants held by the tests: tokens are appended once and in order; what Next returns never
// changes; a record ends once.
package stream

import (
	"context"
	"slices"
	"sync"

	"swiftbeam/pkg/clock"
)

// Request is an accepted request. It does not change.
type Request struct {
	ID      string
	Account string
	Service string
	Route   string
	Body    []byte
	Chat    bool
}

// Record is an accepted request with what was relayed for it.
type Record struct {
	Request

	mu      sync.Mutex
	version string
	holder  string
	epoch   uint64
	tokens  []string
	shown   int
	done    bool
	finish  string
	failure string
	moved   bool
	endedAt clock.Instant
	changed chan struct{}
}

// NewRecord returns a record without tokens.
func NewRecord(r Request) *Record {
	return &Record{Request: r, changed: make(chan struct{})}
}

// State is a copy of the changing part of a record.
type State struct {
	Version string
	Holder  string
	Epoch   uint64
	Tokens  []string
	Shown   int
	Done    bool
	Finish  string
	Failure string
	EndedAt clock.Instant
}

// State returns a copy of the changing part. Tokens must not be written to.
func (r *Record) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Version: r.version, Holder: r.holder, Epoch: r.epoch, Tokens: slices.Clip(r.tokens),
		Shown: r.shown, Done: r.done, Finish: r.finish, Failure: r.failure, EndedAt: r.endedAt,
	}
}

// SetHolder makes holder the daemon that relays the record, in a later epoch than before.
func (r *Record) SetHolder(holder string, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder, r.epoch = holder, max(r.epoch+1, epoch)
}

// SetVersion pins the record to a version, so that a resumed stream does not mix two.
func (r *Record) SetVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// Append adds a token. After the end it has no effect.
func (r *Record) Append(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.done {
		r.tokens = append(r.tokens, token)
	}
}

// End marks the record as complete with the engine's finish reason. Only the first call counts.
func (r *Record) End(now clock.Instant, finish string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return
	}
	r.done, r.finish, r.endedAt = true, finish, now
	r.wake()
}

// Show lets callers see the first count tokens.
func (r *Record) Show(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count = min(count, len(r.tokens))
	if count > r.shown {
		r.shown = count
		r.wake()
	}
}

// Fail ends the record without a whole answer; failure tells the caller why.
func (r *Record) Fail(now clock.Instant, failure string) {
	r.mu.Lock()
	if !r.done {
		r.failure = failure
	}
	r.mu.Unlock()
	r.End(now, "error")
}

// MarkMoved tells callers that another daemon relays the record now.
func (r *Record) MarkMoved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moved = true
	r.wake()
}

func (r *Record) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// End of a record as a caller sees it.
type End struct {
	Done   bool
	Finish string
	// Failure is set when the answer is not whole.
	Failure string
	// Moved is set when another daemon relays the record now; the caller resumes there.
	Moved bool
}

// Next returns the shown tokens from index first on, waiting until there is one or the record
// ended.
func (r *Record) Next(ctx context.Context, first int) ([]string, End, error) {
	for {
		tokens, end, changed := r.poll(first)
		if len(tokens) > 0 || end.Done || end.Moved {
			return tokens, end, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, End{}, ctx.Err()
		}
	}
}

func (r *Record) poll(first int) ([]string, End, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var tokens []string
	if first < r.shown {
		tokens = r.tokens[first:r.shown:r.shown]
	}
	complete := r.done && r.shown == len(r.tokens)
	return tokens, End{Done: complete, Finish: r.finish, Failure: r.failure, Moved: r.moved}, r.changed
}

// Segment is what a holder sends to a mirror: the tokens from index First on.
type Segment struct {
	Request
	Version string
	Holder  string
	Epoch   uint64
	First   int
	Tokens  []string
	Done    bool
	Finish  string
	Failure string
}

// Segment returns what a mirror that has the first tokens lacks.
func (r *Record) Segment(first int) Segment {
	s := r.State()
	first = min(first, len(s.Tokens))
	return Segment{
		Request: r.Request, Version: s.Version, Holder: s.Holder, Epoch: s.Epoch,
		First: first, Tokens: s.Tokens[first:], Done: s.Done, Finish: s.Finish, Failure: s.Failure,
	}
}

// Merge adds a piece to a mirror's copy. It reports false for a piece that leaves a gap or is
// of an earlier epoch.
func (r *Record) Merge(now clock.Instant, p Segment) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Epoch < r.epoch || p.First > len(r.tokens) {
		return false
	}
	r.holder, r.epoch, r.version = p.Holder, p.Epoch, p.Version
	if have := len(r.tokens) - p.First; have < len(p.Tokens) {
		r.tokens = append(r.tokens, p.Tokens[have:]...)
	}
	r.shown = len(r.tokens)
	if p.Done && !r.done && len(r.tokens) == p.First+len(p.Tokens) {
		r.done, r.finish, r.failure, r.endedAt = true, p.Finish, p.Failure, now
	}
	r.wake()
	return true
}

// Restore returns a record from a piece that starts at the first token.
func Restore(now clock.Instant, p Segment) *Record {
	r := NewRecord(p.Request)
	r.Merge(now, p)
	return r
}

// Table holds the records of a daemon by request ID.
type Table struct {
	// Retention is how long an ended record can be resumed.
	Retention clock.Duration

	mu      sync.Mutex
	records map[string]*Record
}

// Get returns the record of a request, or nil.
func (t *Table) Get(id string) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[id]
}

// Put adds a record, unless one with its ID is there; it returns the one that is there then.
func (t *Table) Put(r *Record) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = make(map[string]*Record)
	}
	if old := t.records[r.ID]; old != nil {
		return old
	}
	t.records[r.ID] = r
	return r
}

// Delete forgets a record.
func (t *Table) Delete(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, id)
}

// Replace puts a record in place of an earlier one with its ID.
func (t *Table) Replace(r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = make(map[string]*Record)
	}
	t.records[r.ID] = r
}

// Sweep forgets records that ended long ago.
func (t *Table) Sweep(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		s := r.State()
		if s.Done && now.Sub(s.EndedAt) > t.Retention {
			delete(t.records, id)
		}
	}
}

// All returns the records in no order.
func (t *Table) All() []*Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	return all
}
