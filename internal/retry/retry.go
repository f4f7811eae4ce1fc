// Package retry decides what follows an attempt at a backend server: its answer, another
// attempt, or a final answer of our own.
//
//	what := retry.Decide(retry.Attempt{Repeatable: true, Sent: true, Result: retry.Broken})
//	if what == retry.Again && budget.Take(now) { ... }
//
// A refusal tells a caller that the request has not run and will not, so it is given only where
// that is known: no byte had left, or the server said so.
package retry

import (
	"swiftbeam/internal/window"
	"swiftbeam/pkg/clock"
)

//go:generate ../../.tools/stringer -type=Result,Action -output=enums_string.go

// Result is how an attempt ended.
type Result uint8

// Results of attempts.
const (
	Whole    Result = iota // a whole answer of the server
	Failed                 // a whole answer that reports a failure of the server
	NotRun                 // the server said that it did not run the request
	Moved                  // another server has the address; it did not run the request
	Unsent                 // no byte of the request left
	Broken                 // the connection ended, or what came was no whole answer
	TimedOut               // no whole answer by the deadline
)

// Action is what to do next.
type Action uint8

// Actions.
const (
	Pass    Action = iota // hand the answer on
	Again                 // try another server, or refuse where that is not possible
	Resend                // try another server, or fail where that is not possible
	Refuse                // the request has not run and will not
	Fail                  // the request may have run
	Expired               // the time is over and the request may have run
	Cut                   // end the stream that has begun, so that it does not look complete
)

// Attempt is what is known at the end of an attempt.
type Attempt struct {
	// Repeatable tells that the request may run more than once.
	Repeatable bool
	// RanBefore tells that an earlier attempt may have run the request.
	RanBefore bool
	// Begun tells that a part of the answer went to the caller.
	Begun  bool
	Result Result
}

// Decide returns what follows an attempt.
func Decide(a Attempt) Action {
	if a.Result == Whole {
		return Pass
	}
	if a.Begun {
		if a.Repeatable && a.Result != TimedOut {
			return Resend
		}
		return Cut
	}
	switch a.Result {
	case NotRun, Moved, Unsent:
		if a.RanBefore {
			return Resend
		}
		return Again
	case Failed:
		if a.Repeatable {
			return Resend
		}
		return Pass
	case TimedOut:
		return Expired
	}
	if a.Repeatable {
		return Resend
	}
	return Fail
}

// Final returns the action in place of another attempt that is not possible.
func Final(a Attempt) Action {
	switch {
	case a.Begun:
		return Cut
	case a.Result == Failed:
		return Pass
	case a.RanBefore || a.Result == Broken || a.Result == TimedOut || a.Result == Whole:
		return Fail
	}
	return Refuse
}

// Budget bounds further attempts at the servers of one service to a part of its requests in a
// sliding window. Its owner serialises the calls.
type Budget struct {
	// Ratio is the number of further attempts that a request earns; Slack is what is free in each
	// window. Both are the share of one daemon.
	Ratio  float64
	Slack  float64
	Window clock.Duration

	requests window.Sliding
	attempts window.Sliding
}

// Arrived counts a request of a caller.
func (b *Budget) Arrived(now clock.Instant) {
	b.requests.Span = b.Window
	b.requests.Add(now, 1)
}

// Take asks for a further attempt and counts it when it is granted.
func (b *Budget) Take(now clock.Instant) bool {
	b.attempts.Span = b.Window
	if b.attempts.Sum(now)+1 > b.Ratio*b.requests.Sum(now)+b.Slack {
		return false
	}
	b.attempts.Add(now, 1)
	return true
}
