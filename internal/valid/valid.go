// Package valid checks what backend servers and other daemons say of servers. An invalid value costs its own record only:
//
//	if !valid.IsAddress(r.Address) {
//		return fault.New(fault.Invalid, "the address %s cannot be used", valid.Quote(r.Address))
//	}
package valid

import (
	"net/netip"
	"strconv"
	"unicode"
	"unicode/utf8"

	"swiftbeam/pkg/clock"
)

// Limits of the fields of a server.
const (
	maxNameBytes = 256
	// MaxSlots is the largest number of slots, and of requests at a server.
	MaxSlots = 1 << 20
	// MaxSpan is the longest time that a server announces.
	MaxSpan = 366 * clock.Day
	// shownBytes is the length to which an invalid value is cut in error texts.
	shownBytes = 64
)

// Quote quotes the beginning of a text for an error message.
func Quote(text string) string { return strconv.Quote(shorten(text)) }

func shorten(text string) string {
	if len(text) <= shownBytes {
		return text
	}
	return text[:shownBytes] + "..."
}

// IsID reports whether a text can be an ID, which is sent in a header and in paths.
func IsID(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' || c == '/' {
			return false
		}
	}
	return true
}

// IsText reports whether a text is short and printable. An empty one is.
func IsText(text string) bool {
	if len(text) > maxNameBytes || !utf8.ValidString(text) {
		return false
	}
	for _, c := range text {
		if !unicode.IsPrint(c) {
			return false
		}
	}
	return true
}

// IsAddress reports whether a text is the address of one server: an IP number and a port.
func IsAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && a.Addr().Zone() == "" && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
