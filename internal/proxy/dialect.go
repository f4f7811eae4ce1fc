package proxy

import (
	"net/http"

	"swiftbeam/internal/place"
	"swiftbeam/pkg/clock"
)

// Request holds what a Dialect read from the headers of a caller's request.
type Request struct {
	// ID is the attempt ID that the caller chose; a response must carry the same ID.
	ID string
	// Key is the caller's API key.
	Key string
	// Wait is how long the caller waits for the response; zero when the request names no time.
	Wait  clock.Duration
	Model string
	// Sized reports whether the caller sent the sizes of its prompt and output, in tokens.
	Sized  bool
	Prompt int
	Output int
	Parts  []place.Part
	// After is the ID of the last stream event that the caller received; -1 for none.
	After int64
	// Header holds the headers to forward.
	Header http.Header
}

// AttemptInfo is what the proxy adds to the headers of a forwarded attempt.
type AttemptInfo struct {
	// Server is the ID of the backend server that the attempt is sent to.
	Server    string
	Account   string
	Remaining clock.Duration
	// Urgency orders the requests in the queue of an engine; 0 is served first.
	Urgency int
	// After is the ID of the last event that the caller received; -1 for none.
	After int64
}

// ResponseInfo is what the headers of a response report.
type ResponseInfo struct {
	// ID is the ID of the attempt that the response belongs to.
	ID string
	// NotRun reports that the server did not run the request, Moved that the request reached
	// another server than the one named in it.
	NotRun bool
	Moved  bool
	// Signed reports that a backend server produced the response.
	Signed bool
	// Leaving reports that the server drains and takes no new requests.
	Leaving bool
	// RetryAfter is the time for which the server wants no requests from this daemon; zero for none.
	RetryAfter clock.Duration
	// Limited reports that the server limits its requests, to Limit a second from all daemons together.
	Limited bool
	Limit   float64
	// Brittle reports that the server falls over when it has to turn away more than Tolerated requests a second.
	Brittle   bool
	Tolerated float64
}

// Dialect translates between the types of this package and the headers on the wire.
type Dialect interface {
	ParseRequest(r *http.Request) (Request, error)
	// SetHeaders adds the headers of an attempt to h.
	SetHeaders(h http.Header, a *Request, o AttemptInfo)
	ParseResponse(status int, h http.Header) ResponseInfo
	RetryAfter(h http.Header, d clock.Duration)
}
