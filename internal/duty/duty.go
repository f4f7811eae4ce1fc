// Package duty decides when the leader of the core daemons may call the cloud. The cloud does not
// check fencing numbers, so calls of different holders of the duties are kept apart in time. A new
// holder waits until the calls of the previous holder must have arrived. A holder stops sending soon
// after it loses contact with a quorum, also in the middle of a call. A daemon that acquires the
// duties again first waits for the lease to end:
//
//	tenure.Begin(now, fence)                        // a commit granted the duties
//	if tenure.MaySend(now, contactAt, settings) {
//		call := tenure.Sent(now, settings)
//		ctx = duty.WithGate(ctx, gate)              // asks again when the connection is open
//		...
//		tenure.Ended(now, call, duty.Answered)
//	}
package duty

import "swiftbeam/pkg/clock"

//go:generate ../../.tools/stringer -type=Answer,Outcome -output=enums_string.go

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
	// MaxContactAge is the age of the last contact with a quorum up to which a holder sends. Another leader can be elected
	// right after that contact, by a transfer or by voters that were restarted, so a new holder waits for it.
	MaxContactAge clock.Duration
}

// SendBy returns the time until which a call may be sent after a contact with a quorum.
func (s *Settings) SendBy(contactAt clock.Instant) clock.Instant {
	return contactAt.Add(s.MaxContactAge)
}

// Outcome is what is known of a call that has ended.
type Outcome uint8

// Outcomes of calls.
const (
	Unanswered Outcome = iota // the call may have arrived, or may still arrive within MaxTransit
	Answered                  // the call has arrived
	Unsent                    // nothing of the call was sent
)

// Call identifies a call of a tenure.
type Call uint64

// Tenure is the time during which one daemon holds the duties. In the zero value, this daemon does
// not hold them.
type Tenure struct {
	Fence   uint64
	BeganAt clock.Instant
	// arrivedBy is the time by which all calls of this VM that have ended have arrived, or from which on they cannot arrive any more.
	arrivedBy clock.Instant
	// open contains the times until which the calls that have not ended may arrive.
	open map[Call]clock.Instant
	last Call
	// sentFence is the fencing number of the last call of this process.
	sentFence uint64
	// othersSent reports whether other holders may have sent calls since the last one of this process.
	othersSent bool
}

// Start records the start of the process. Calls of an earlier process on this VM are unknown and may still be in transit, though its
// connections were reset.
func (t *Tenure) Start(now clock.Instant, s Settings) {
	t.arrivedBy, t.othersSent = now.Add(s.MaxTransit), true
}

// Begin records that a commit granted the duties with a fencing number. A holder gets the number of its last grant again unless another
// one was granted the duties in between.
func (t *Tenure) Begin(now clock.Instant, fence uint64) {
	if t.Fence != fence {
		t.Fence, t.BeganAt, t.othersSent = fence, now, fence != t.sentFence
	}
}

// End records that the duties are lost.
func (t *Tenure) End() { t.Fence, t.BeganAt = 0, 0 }

// Sent records that a call is about to be sent, which must arrive within MaxTransit or not at all.
func (t *Tenure) Sent(now clock.Instant, s Settings) Call {
	if t.open == nil {
		t.open = make(map[Call]clock.Instant)
	}
	t.last++
	t.open[t.last], t.sentFence, t.othersSent = now.Add(s.MaxTransit), t.Fence, false
	return t.last
}

// Ended records the outcome of a call.
func (t *Tenure) Ended(now clock.Instant, call Call, outcome Outcome) {
	until := t.open[call]
	delete(t.open, call)
	switch outcome {
	case Unanswered:
		t.arrivedBy = max(t.arrivedBy, until)
	case Answered:
		t.arrivedBy = max(t.arrivedBy, min(now, until))
	case Unsent:
	}
}

// mayArriveUntil returns the time from which on no call of this process that was sent so far can arrive.
func (t *Tenure) mayArriveUntil() clock.Instant {
	latest := t.arrivedBy
	for _, until := range t.open {
		latest = max(latest, until)
	}
	return latest
}

// MaySend reports whether the holder may send a call now. ContactAt is its last contact with a quorum.
func (t *Tenure) MaySend(now, contactAt clock.Instant, s Settings) bool {
	if t.Fence == 0 || now.Sub(t.BeganAt) < s.MaxTransit+max(s.MaxPause, s.MaxContactAge) || now.After(s.SendBy(contactAt)) {
		return false
	}
	return !t.othersSent || now.Sub(t.mayArriveUntil()) >= s.Lease+s.MaxPause
}
