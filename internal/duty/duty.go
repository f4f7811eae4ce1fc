// Package duty decides when the leader of the core daemons may call the cloud. The cloud does not
// check fencing numbers, so calls of different holders of the duties are kept apart in time. A new
// holder waits until the calls of the previous holder must have arrived. A holder stops sending soon
// after it loses contact with a quorum, also in the middle of a call. A daemon that acquires the duties again first waits for the
// lease to end:
//
//	tenure.Begin(now, fence)                        // a commit granted the duties
//	if tenure.MaySend(now, contactAt, settings) {
//		tenure.Sent(now)
//		ctx = duty.WithGate(ctx, gate)              // asks again when the connection is open
//	}
package duty

import "swiftbeam/pkg/clock"

//go:generate ../../.tools/stringer -type=Answer -output=answer_string.go

// Holder identifies the holder of the duties that makes a call.
type Holder struct {
	Name  string
	Fence uint64
}

// Order requests a number of replicas of a service in one availability zone.
type Order struct {
	Service  string
	Zone     string
	Replicas int
	Spot     bool
}

// Answer is the result of a call to the cloud.
type Answer uint8

// Answers of the cloud.
const (
	Failed   Answer = iota // refused, or the outcome is unknown
	Accepted               // carried out
	SoldOut                // no replicas of this kind are available now
)

// Settings are the time limits of the duties.
type Settings struct {
	// Lease is the time within which the duties must not go to another holder and back.
	Lease clock.Duration
	// MaxPause is the longest pause of a holder's process after which its call may still arrive.
	MaxPause clock.Duration
	// MaxTransit is the longest time that a call is in transit.
	MaxTransit clock.Duration
	// MaxContactAge is the age of the last contact with a quorum up to which a holder sends. It is
	// below the election timeout, so that a holder stops before another leader can be elected.
	MaxContactAge clock.Duration
}

// SendBy returns the time until which a call may be sent after a contact with a quorum.
func (s *Settings) SendBy(contactAt clock.Instant) clock.Instant {
	return contactAt.Add(s.MaxContactAge)
}

// Tenure is the time during which one daemon holds the duties. In the zero value, this daemon does
// not hold them.
type Tenure struct {
	Fence   uint64
	BeganAt clock.Instant
	// sentAt is the time of the last call of any tenure of this process. Before the first call it is
	// the start of the process, as calls of an earlier process on this VM are unknown.
	sentAt clock.Instant
	// othersSent reports whether other holders may have sent calls since sentAt.
	othersSent bool
}

// Start records the start of the process.
func (t *Tenure) Start(now clock.Instant) { t.sentAt, t.othersSent = now, true }

// Begin records that a commit granted the duties with a fencing number.
func (t *Tenure) Begin(now clock.Instant, fence uint64) {
	if t.Fence != fence {
		t.Fence, t.BeganAt, t.othersSent = fence, now, true
	}
}

// End records that the duties are lost.
func (t *Tenure) End() { t.Fence, t.BeganAt = 0, 0 }

// Sent records that a call is sent.
func (t *Tenure) Sent(now clock.Instant) { t.sentAt, t.othersSent = now, false }

// MaySend reports whether the holder may send a call now. ContactAt is its last contact with a quorum.
func (t *Tenure) MaySend(now, contactAt clock.Instant, s Settings) bool {
	if t.Fence == 0 || now.Sub(t.BeganAt) < s.MaxTransit+s.MaxPause || now.After(s.SendBy(contactAt)) {
		return false
	}
	return !t.othersSent || now.Sub(t.sentAt) >= s.Lease+s.MaxPause
}
