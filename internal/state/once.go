package state

import (
	"bytes"

	"swiftbeam/pkg/clock"
)

// OnceOutcome is the status of a call that must not be repeated.
type OnceOutcome uint8

// Outcomes of such a call.
const (
	// Pending means that the holder may be running the call.
	Pending OnceOutcome = iota
	// Answered means that the backend server responded.
	Answered
	// NotRun means that the holder never sent the call; the key may be used again.
	NotRun
	// Unsure means that the holder sent the call and got no response.
	Unsure
)

// OnceKey identifies a call by its client account, its route and the idempotency key of the caller.
type OnceKey struct {
	Account string
	Route   string
	Key     string
}

// OnceRecord is the journal's record of one call.
type OnceRecord struct {
	OnceKey
	Digest      []byte
	Request     string
	Holder      string
	Outcome     OnceOutcome
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted is set if the response body was too long to be recorded.
	BodyOmitted bool
	At          clock.Instant
}

// OnceBegin requests the right to run a call. The proposing daemon has the right only if the result is
// Done, and only until the deadline that it set itself before proposing.
type OnceBegin struct {
	OnceKey
	Digest  []byte
	Request string
	Holder  string
}

// OnceEnd records the outcome of the call that Request started.
type OnceEnd struct {
	OnceKey
	Request     string
	Outcome     OnceOutcome
	Status      int
	ContentType string
	Body        []byte
	BodyOmitted bool
}

func (OnceBegin) command() {}
func (OnceEnd) command()   {}

func (r *OnceRecord) retention() clock.Duration {
	if r.Outcome == Answered || r.Outcome == NotRun {
		return CallRetention
	}
	return UnknownCallRetention
}

func (s *State) beginOnce(b OnceBegin) Result {
	old := s.Once[b.OnceKey]
	switch {
	case old == nil && len(s.Once) >= MaxOnceRecords:
		return Result{Code: Full}
	case old == nil:
	case !bytes.Equal(old.Digest, b.Digest):
		return Result{Code: KeyReused, Once: old.copy()}
	case old.Request == b.Request && old.Holder == b.Holder && old.Outcome == Pending:
		return Result{}
	case old.Outcome != NotRun || old.Request == b.Request:
		return Result{Code: Existing, Once: old.copy()}
	}
	s.Once[b.OnceKey] = &OnceRecord{
		OnceKey: b.OnceKey, Digest: b.Digest, Request: b.Request, Holder: b.Holder, At: s.Now,
	}
	return Result{}
}

// endOnce records an outcome. Answered replaces Unsure; nothing replaces Answered or NotRun.
func (s *State) endOnce(e OnceEnd) Result {
	r := s.Once[e.OnceKey]
	if r == nil {
		return Result{Code: NotFound}
	}
	if r.Request != e.Request {
		return Result{Code: NotHolder, Once: r.copy()}
	}
	final := r.Outcome == Answered || r.Outcome == NotRun
	if final || r.Outcome == Unsure && e.Outcome != Answered {
		return Result{Code: Existing, Once: r.copy()}
	}
	r.Outcome = e.Outcome
	r.Status = e.Status
	r.ContentType = e.ContentType
	r.Body = e.Body
	r.BodyOmitted = e.BodyOmitted
	r.At = s.Now
	return Result{Once: r.copy()}
}

func (r *OnceRecord) copy() *OnceRecord {
	c := *r
	return &c
}
