// Package fault holds the typed errors of swiftbeam. Each error has a kind, which decides the
// status a caller sees, and a message that ends in a remedy:
//
//	return fault.New(fault.Conflict, "section %q is at version %d", name, have).
//		Remedy("read the section again and put it with base %d", have)
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

//go:generate ../../.tools/stringer -type=Kind -output=kind_string.go

// Kind classifies an error by what its receiver can do about it.
type Kind uint8

// Kinds of errors.
const (
	Internal    Kind = iota // a defect of swiftbeam
	Invalid                 // the input is wrong; the same input fails again
	Denied                  // the credentials do not allow the action
	Missing                 // the named object does not exist
	Conflict                // another writer was first
	Exhausted               // a limit was reached; retry later
	Unavailable             // a needed party cannot be reached; retry later
	Unknown                 // the effect may or may not have happened
	Damaged                 // stored data failed a check
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Message string
	Action  string
	// RetryAfter is the number of seconds after which a retry makes sense; zero means unset.
	RetryAfter int
}

// New returns an error of kind k.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Remedy sets what the receiver should do and returns e.
func (e *Error) Remedy(format string, args ...any) *Error {
	e.Action = fmt.Sprintf(format, args...)
	return e
}

// After sets the seconds to wait before a retry and returns e.
func (e *Error) After(seconds int) *Error {
	e.RetryAfter = seconds
	return e
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Action == "" {
		return e.Message
	}
	return e.Message + "; " + e.Action
}

// KindOf returns the kind of err, or Internal when err carries none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
