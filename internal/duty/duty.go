// Package duty decides when the leader of the core may call the cloud. The cloud does not check
// fencing numbers, so a new holder waits until the calls of an earlier one have arrived, each holder
// stops sending soon after it lost the majority, and one that comes back waits out the lease:
//
//	tenure.Begin(now, fence)                        // the log granted the duties
//	if tenure.MaySend(now, contactAt, settings) {
//		tenure.Sent(now)
//	}
package duty

import "swiftbeam/pkg/clock"

//go:generate ../../.tools/stringer -type=Answer -output=answer_string.go

// Holder names who makes a call.
type Holder struct {
	Name  string
	Fence uint64
}

// Order is the number of replicas wanted in one availability zone.
type Order struct {
	Service  string
	Zone     string
	Replicas int
	Spot     bool
}

// Answer is how the cloud took a call.
type Answer uint8

// Answers of the cloud.
const (
	Failed   Answer = iota // not taken, or not known
	Accepted               // taken
	SoldOut                // no such replicas are to be had now
)

// Settings are the times of the duties.
type Settings struct {
	// Lease is the time in which holders must not take turns.
	Lease clock.Duration
	// MaxPause is the time in which a call of a holder that stood still may still arrive.
	MaxPause clock.Duration
	// MaxTransit is the longest time for which a call is on its way.
	MaxTransit clock.Duration
	// MaxContactAge is the age of the last contact with a majority up to which a holder sends. It is
	// below the election timeout, so that a holder stops before another can be elected.
	MaxContactAge clock.Duration
}

// Tenure is the time of one holder. The zero value holds nothing.
type Tenure struct {
	Fence   uint64
	BeganAt clock.Instant
	// sentAt is the last call of any tenure of this process, or its start: what the process before it
	// on this VM sent is not known.
	sentAt clock.Instant
	// resumed tells that others may have sent since sentAt.
	resumed bool
}

// Start notes when the process started.
func (t *Tenure) Start(now clock.Instant) { t.sentAt, t.resumed = now, true }

// Begin notes that the log granted the duties with a fencing number.
func (t *Tenure) Begin(now clock.Instant, fence uint64) {
	if t.Fence != fence {
		t.Fence, t.BeganAt, t.resumed = fence, now, true
	}
}

// End notes that the duties are lost.
func (t *Tenure) End() { t.Fence, t.BeganAt = 0, 0 }

// Sent notes a call.
func (t *Tenure) Sent(now clock.Instant) { t.sentAt, t.resumed = now, false }

// MaySend reports whether the holder may send now. ContactAt is its last contact with a majority.
func (t *Tenure) MaySend(now, contactAt clock.Instant, s Settings) bool {
	if t.Fence == 0 || now.Sub(t.BeganAt) < s.MaxTransit+s.MaxPause || now.Sub(contactAt) > s.MaxContactAge {
		return false
	}
	return !t.resumed || now.Sub(t.sentAt) >= s.Lease+s.MaxPause
}
