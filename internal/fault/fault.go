// Package fault defines typed errors. Each error has a kind, from which the HTTP status of a response is
// chosen, and a message followed by a remedy:
//
//	return fault.New(fault.Conflict, "section %q is at version %d", name, have).
//		Remedy("read the section again and put it with base %d", have)
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

//go:generate ../../.tools/stringer -type=Kind -output=kind_string.go

// Kind classifies an error by what the receiver can do about it.
type Kind uint8

const (
	Internal    Kind = iota // a bug in swiftbeam
	Invalid                 // the input is invalid; a retry with the same input fails again
	Denied                  // the credentials are missing, unknown or do not permit the action
	Missing                 // the named object does not exist
	Conflict                // another writer changed the object first
	Exhausted               // a limit is reached; retry later
	Unavailable             // a required daemon or server cannot be reached; retry later
	Unknown                 // the outcome is unknown; the action may have taken effect
	Damaged                 // stored data failed an integrity check
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Message string
	// Action is the remedy, what the receiver should do.
	Action string
	// RetryAfter is the wait in seconds before a retry; zero means unset.
	RetryAfter int
}

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Remedy sets the remedy and returns e.
func (e *Error) Remedy(format string, args ...any) *Error {
	e.Action = fmt.Sprintf(format, args...)
	return e
}

// After sets RetryAfter and returns e.
func (e *Error) After(seconds int) *Error {
	e.RetryAfter = seconds
	return e
}

// Error returns the message, followed by the remedy if there is one.
func (e *Error) Error() string {
	if e.Action == "" {
		return e.Message
	}
	return e.Message + "; " + e.Action
}

// KindOf returns the kind of the first Error in the chain of err, or Internal when there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
