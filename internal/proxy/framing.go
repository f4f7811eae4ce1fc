package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/place"
)

//go:generate ../../.tools/stringer -type=framing -linecomment -output=framing_string.go

// framing is how the end of a response's body is marked.
type framing uint8

// Framings of bodies. The trailing comments are the printed names.
const (
	unread        framing = iota // none
	lengthFraming                // length
	chunkFraming                 // chunks
	closeFraming                 // close
)

// endingWhole is the ending of a response that was read to its end.
const endingWhole = "whole"

// framingOf returns the framing of a response.
func framingOf(r *http.Response) framing {
	switch {
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return lengthFraming
	case len(r.TransferEncoding) > 0:
		return chunkFraming
	}
	return closeFraming
}

// Errors of bodies that end with their connection. Each means that the body is not complete.
var (
	errServerEnded = errors.Wrap(io.ErrUnexpectedEOF, "nothing shows that the server runs on")
	errWasReset    = errors.Wrap(io.ErrUnexpectedEOF, "the server has reset the connection")
	errNothingRead = errors.Wrap(io.ErrUnexpectedEOF, "the connection was closed before the first event")
)

// unmarkedBody is a body that ends with its connection. As the connections of a process that is killed are closed like those of
// complete responses, the end has to be confirmed.
type unmarkedBody struct {
	io.ReadCloser
	// events is set for a stream of events. One without any shows nothing of where the stream ends.
	events  bool
	confirm func() error

	// begun is set after the first line of an event, line is the beginning of the current line.
	begun bool
	line  []byte
}

// Read returns io.EOF only after the end was confirmed.
func (b *unmarkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	for i := 0; b.events && !b.begun && i < n; i++ {
		b.scan(p[i])
	}
	if err != io.EOF {
		return n, err
	}
	if b.events && !b.begun {
		return n, errNothingRead
	}
	if confirmErr := b.confirm(); confirmErr != nil {
		return n, confirmErr
	}
	return n, io.EOF
}

// scan looks for the first line of an event.
func (b *unmarkedBody) scan(c byte) {
	const longest = len("data:")
	switch {
	case c == '\n' || c == '\r':
		b.line = b.line[:0]
	case len(b.line) < longest:
		b.line = append(b.line, c)
		b.begun = string(b.line) == "data:" || string(b.line) == "id:"
	}
}

// confirmEnd returns an error if nothing shows that the server of a response that ended with its connection runs on. That
// holds for one that leaves, too: it may be killed before its last response is complete, for instance as its VM is
// reclaimed. A helper marks the end of each response.
func (a *attempt) confirmEnd(ctx context.Context, server *place.Server) error {
	if a.helper != nil || !a.proxy.Pool.IsAlive(ctx, server.Address, a.sentAt) {
		return errServerEnded
	}
	if a.conn.WasReset() {
		return errWasReset
	}
	return ctx.Err()
}

// isEventStream reports whether a response is a stream of events.
func isEventStream(r *http.Response) bool {
	kind, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	hasBody := r.Request == nil || r.Request.Method != http.MethodHead
	return r.StatusCode/100 == 2 && hasBody && strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}
