// Package stream stores accepted streaming requests and the tokens relayed for them. Each Record
// has two copies: one at its holder, the daemon that relays the stream, and one at a mirror, a
// daemon in another availability zone. A token becomes visible to the caller only once the mirror
// has stored it, so that a resumed stream continues exactly where the caller's copy ends.
//
//	r := stream.NewRecord(request)
//	r.Append("Dear ")                      // the relay, for each token of the engine
//	r.Show(1)                              // the relay, after the mirror acknowledged the token
//	tokens, end, err := r.Next(ctx, 0)     // the caller's connection
//
// Invariants checked by the tests: tokens are appended once and in order; the tokens that Next
// returned never change; a record ends once.
package stream

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"sync"

	"swiftbeam/pkg/clock"
)

// Request is what a caller asked for. It does not change, except that a record drops the body at its end.
type Request struct {
	ID      string
	Account string
	Service string
	Route   string
	Body    []byte
	Chat    bool
	// AcceptedAt is zero if a daemon of an earlier build accepted the request.
	AcceptedAt clock.Instant
}

// Record is an accepted request with the state of its stream. It is safe for concurrent use.
type Record struct {
	Request

	mu      sync.Mutex
	version string
	holder  string
	epoch   uint64 // rises with each holder
	tokens  []string
	visible int // number of tokens that callers may read
	done    bool
	finish  string
	failure string
	moved   bool
	endedAt clock.Instant
	// changed is closed and replaced after each change for which a call of Next may be waiting.
	changed chan struct{}
}

// NewRecord returns a record of r without tokens.
func NewRecord(r Request) *Record {
	return &Record{Request: r, changed: make(chan struct{})}
}

// State is a copy of the mutable part of a record.
type State struct {
	Version string
	Holder  string
	Epoch   uint64
	Tokens  []string
	Visible int
	Done    bool
	Finish  string
	Failure string
	EndedAt clock.Instant
}

// State returns a copy of the mutable part. The caller must not modify Tokens, which shares memory
// with the record.
func (r *Record) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Version: r.version, Holder: r.holder, Epoch: r.epoch, Tokens: slices.Clip(r.tokens),
		Visible: r.visible, Done: r.done, Finish: r.finish, Failure: r.failure, EndedAt: r.endedAt,
	}
}

// SetHolder makes holder the daemon that relays the record. The new epoch is at least epoch and
// higher than the present one.
func (r *Record) SetHolder(holder string, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder, r.epoch = holder, max(r.epoch+1, epoch)
}

// SetVersion records the version that generates the response, so that a resumed stream can continue with
// the same version.
func (r *Record) SetVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// Append adds a token. It has no effect after the end of the record.
func (r *Record) Append(token string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.done {
		r.tokens = append(r.tokens, token)
	}
}

// End marks the record as ended with the engine's finish reason. Later calls have no effect.
func (r *Record) End(now clock.Instant, finish string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return
	}
	r.done, r.finish, r.endedAt = true, finish, now
	r.Body = nil
	r.notify()
}

// Prompt returns the body of the request; nil once the record has ended.
func (r *Record) Prompt() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Body
}

// Show makes the first count tokens visible to callers.
func (r *Record) Show(count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count = min(count, len(r.tokens))
	if count > r.visible {
		r.visible = count
		r.notify()
	}
}

// Fail ends the record with an incomplete response; failure is the message for the caller.
func (r *Record) Fail(now clock.Instant, failure string) {
	r.mu.Lock()
	if !r.done {
		// A record without a failure counts as complete.
		r.failure = cmp.Or(failure, "the answer is incomplete")
	}
	r.mu.Unlock()
	r.End(now, "error")
}

// MarkMoved notifies callers that another daemon relays the record now.
func (r *Record) MarkMoved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moved = true
	r.notify()
}

// notify wakes all waiting calls of Next.
func (r *Record) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// End describes whether and how a record ended, as its callers see it.
type End struct {
	Done   bool
	Finish string
	// Failure is set when the response is incomplete.
	Failure string
	// Moved is set when another daemon relays the record now; the caller resumes there.
	Moved bool
}

// Next returns the visible tokens from index first on. It waits until there is one, the record
// ended or moved, or ctx ends.
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
	if first < r.visible {
		tokens = r.tokens[first:r.visible:r.visible]
	}
	complete := r.done && r.visible == len(r.tokens)
	return tokens, End{Done: complete, Finish: r.finish, Failure: r.failure, Moved: r.moved}, r.changed
}

// Position is what a caller has of an answer.
type Position struct {
	Tokens int
	// Digest is the hexadecimal SHA-256 of their text; empty if the caller did not send it.
	Digest string
}

// In reports whether an answer begins with the tokens at the caller.
func (p Position) In(tokens []string) bool {
	if p.Tokens > len(tokens) {
		return false
	}
	if p.Digest == "" {
		return true
	}
	h := sha256.New()
	for _, token := range tokens[:p.Tokens] {
		_, _ = io.WriteString(h, token)
	}
	return hex.EncodeToString(h.Sum(nil)) == p.Digest
}

// Segment is the part of a record that a holder sends to a mirror: the tokens from index First on.
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

// Segment returns the part that a mirror with the given number of tokens still lacks.
func (r *Record) Segment(first int) Segment {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = min(first, len(r.tokens))
	return Segment{
		Request: r.Request, Version: r.version, Holder: r.holder, Epoch: r.epoch,
		First: first, Tokens: slices.Clip(r.tokens)[first:], Done: r.done, Finish: r.finish, Failure: r.failure,
	}
}

// Merge adds a segment of the same run to a copy. It reports false for a segment that would leave a gap or
// belongs to another holder or epoch, whose tokens may be others.
func (r *Record) Merge(now clock.Instant, s Segment) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew := r.epoch == 0 && r.holder == "" && len(r.tokens) == 0
	if !isNew && (s.Epoch != r.epoch || s.Holder != r.holder) || s.First > len(r.tokens) {
		return false
	}
	r.holder, r.epoch, r.version = s.Holder, s.Epoch, s.Version
	if overlap := len(r.tokens) - s.First; overlap < len(s.Tokens) {
		r.tokens = append(r.tokens, s.Tokens[overlap:]...)
	}
	r.visible = len(r.tokens)
	if s.Done && !r.done && len(r.tokens) == s.First+len(s.Tokens) {
		r.done, r.finish, r.failure, r.endedAt = true, s.Finish, s.Failure, now
		r.Body = nil
	}
	r.notify()
	return true
}

// Supersedes reports whether the run of s replaces that of other: it has a later epoch, or of two daemons that took
// the request over at the same time, the higher holder.
func (s *Segment) Supersedes(other *Segment) bool {
	return cmp.Or(cmp.Compare(s.Epoch, other.Epoch), cmp.Compare(s.Holder, other.Holder)) > 0
}

// Restore returns a record made from a segment that starts at the first token.
func Restore(now clock.Instant, s Segment) *Record {
	r := NewRecord(s.Request)
	r.Merge(now, s)
	return r
}

// Table stores the records of a daemon by request ID.
type Table struct {
	// Retention is how long an ended record is kept, so that it can be resumed.
	Retention clock.Duration

	mu      sync.Mutex
	records map[string]*Record
}

// Get returns the record with the given ID, or nil.
func (t *Table) Get(id string) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records[id]
}

// Put adds r unless the table has a record with the same ID. It returns the record that the table
// has afterwards.
func (t *Table) Put(r *Record) *Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = make(map[string]*Record)
	}
	if existing := t.records[r.ID]; existing != nil {
		return existing
	}
	t.records[r.ID] = r
	return r
}

// Merge adds a segment to the copy of its request, or replaces a copy of an earlier run by it. It reports false for a
// segment of an earlier run, and for one without the tokens before it.
func (t *Table) Merge(now clock.Instant, s Segment) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[s.ID]
	if r != nil {
		if r.Merge(now, s) {
			return true
		}
		if own := r.Segment(0); !s.Supersedes(&own) {
			return false
		}
	}
	if s.First != 0 {
		return false
	}
	if t.records == nil {
		t.records = make(map[string]*Record)
	}
	t.records[s.ID] = Restore(now, s)
	if r != nil {
		r.MarkMoved()
	}
	return true
}

// Remove removes r, unless another record has taken its place.
func (t *Table) Remove(r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records[r.ID] == r {
		delete(t.records, r.ID)
	}
}

// Replace adds r and removes any earlier record with the same ID.
func (t *Table) Replace(r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records == nil {
		t.records = make(map[string]*Record)
	}
	t.records[r.ID] = r
}

// Sweep removes the records that ended longer than Retention ago.
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

// All returns all records in no particular order.
func (t *Table) All() []*Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	return all
}
