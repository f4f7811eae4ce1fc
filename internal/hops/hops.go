// Package hops encodes what accompanies a request that one entry daemon sends through another, and its
// response. Both are HTTP messages: the caller's request and the backend server's response as they are, each
// with one more header, which neither callers nor servers see.
//
//	head.Set(hops.Header, request.Encode())
//	request, err := hops.ParseRequest(r.Header.Get(hops.Header))
//
// The daemon that received the request has admitted it, and decides on further attempts. The helper makes one
// attempt, at a server that it chooses.
package hops

import (
	"net/url"
	"strconv"

	"swiftbeam/internal/detour"
	"swiftbeam/internal/fault"
	"swiftbeam/pkg/clock"
)

// Header is the header with the encoded Request or Response.
const Header = "Swiftbeam-Hop"

// Request describes an attempt that a helper makes.
type Request struct {
	// Nonce identifies the attempt; empty from builds that do not know it.
	Nonce string
	// From is the name of the daemon that received the request from its caller.
	From    string
	Service string
	// Account is the client account of the caller; empty for anonymous requests.
	Account   string
	Remaining clock.Duration
	// Urgency is the urgency of the request at a server that answers at once.
	Urgency int
	// After is the ID of the last event that the caller has; -1 for none.
	After int64
	// Versions are the versions that may serve the request; none allows all.
	Versions []string
	// Avoid are the IDs of servers that must not get the request.
	Avoid []string
	// AvoidZones are the availability zones whose servers must not get the request.
	AvoidZones []string
}

// Names of the fields of both messages.
const (
	fieldNonce      = "nonce"
	fieldFrom       = "from"
	fieldService    = "service"
	fieldAccount    = "account"
	fieldRemaining  = "remainingMs"
	fieldUrgency    = "urgency"
	fieldAfter      = "after"
	fieldVersion    = "version"
	fieldAvoid      = "avoid"
	fieldAvoidZone  = "avoidZone"
	fieldOutcome    = "outcome"
	fieldServer     = "server"
	fieldWait       = "waitMs"
	fieldCached     = "cached"
	fieldRetryAfter = "retryAfterMs"
)

// Encode returns the value of the header.
func (r *Request) Encode() string {
	v := url.Values{
		fieldFrom: {r.From}, fieldService: {r.Service}, fieldRemaining: {format(r.Remaining)}, fieldUrgency: {strconv.Itoa(r.Urgency)},
	}
	if r.Nonce != "" {
		v.Set(fieldNonce, r.Nonce)
	}
	if r.Account != "" {
		v.Set(fieldAccount, r.Account)
	}
	if r.After >= 0 {
		v.Set(fieldAfter, format(r.After))
	}
	if len(r.Versions) > 0 {
		v[fieldVersion] = r.Versions
	}
	if len(r.Avoid) > 0 {
		v[fieldAvoid] = r.Avoid
	}
	if len(r.AvoidZones) > 0 {
		v[fieldAvoidZone] = r.AvoidZones
	}
	return v.Encode()
}

// ParseRequest decodes the header of a request. Fields that it does not know are ignored.
func ParseRequest(text string) (Request, error) {
	v, err := url.ParseQuery(text)
	if err != nil || text == "" {
		return Request{}, invalid("the header " + Header + " cannot be read")
	}
	p := parser{values: v}
	r := Request{
		Nonce: v.Get(fieldNonce), From: v.Get(fieldFrom), Service: p.text(fieldService), Account: v.Get(fieldAccount), Remaining: clock.Duration(p.number(fieldRemaining)),
		Urgency: int(p.number(fieldUrgency)), After: -1, Versions: v[fieldVersion], Avoid: v[fieldAvoid], AvoidZones: v[fieldAvoidZone],
	}
	if v.Has(fieldAfter) {
		r.After = p.number(fieldAfter)
	}
	return r, p.err
}

// Response describes the result of the attempt.
type Response struct {
	Outcome detour.Outcome
	// Nonce is that of the request; empty from builds that do not know it.
	Nonce string
	// Server and Version are those of the server that got the request.
	Server  string
	Version string
	// Wait is the time to the first response that the helper expected, Cached the number of prompt tokens
	// that it expected in the server's cache.
	Wait   clock.Duration
	Cached int
	// RetryAfter is the time until a server takes requests again; zero if unknown.
	RetryAfter clock.Duration
}

// Encode returns the value of the header.
func (r *Response) Encode() string {
	v := url.Values{fieldOutcome: {r.Outcome.String()}}
	if r.Nonce != "" {
		v.Set(fieldNonce, r.Nonce)
	}
	if r.Server != "" {
		v.Set(fieldServer, r.Server)
		v.Set(fieldVersion, r.Version)
		v.Set(fieldWait, format(r.Wait))
		v.Set(fieldCached, strconv.Itoa(r.Cached))
	}
	if r.RetryAfter > 0 {
		v.Set(fieldRetryAfter, format(r.RetryAfter))
	}
	return v.Encode()
}

// ParseResponse decodes the header of a response. An outcome that it does not know is an error.
func ParseResponse(text string) (Response, error) {
	v, err := url.ParseQuery(text)
	if err != nil {
		return Response{}, invalid("the header " + Header + " cannot be read")
	}
	for o := detour.Answered; o < detour.Failed; o++ {
		if v.Get(fieldOutcome) != o.String() {
			continue
		}
		p := parser{values: v}
		r := Response{Outcome: o, Nonce: v.Get(fieldNonce), Server: v.Get(fieldServer), Version: v.Get(fieldVersion)}
		if r.Server != "" {
			r.Wait, r.Cached = clock.Duration(p.number(fieldWait)), int(p.number(fieldCached))
		}
		if v.Has(fieldRetryAfter) {
			r.RetryAfter = clock.Duration(p.number(fieldRetryAfter))
		}
		return r, p.err
	}
	return Response{}, invalid("the outcome " + strconv.Quote(v.Get(fieldOutcome)) + " is unknown")
}

// parser reads required fields and keeps the first error.
type parser struct {
	values url.Values
	err    error
}

func (p *parser) text(name string) string {
	text := p.values.Get(name)
	if text == "" && p.err == nil {
		p.err = invalid("the header " + Header + " lacks " + name)
	}
	return text
}

func (p *parser) number(name string) int64 {
	n, err := strconv.ParseInt(p.values.Get(name), 10, 64)
	if err != nil && p.err == nil {
		p.err = invalid("the header " + Header + " has no number in " + name)
	}
	return n
}

func format[T ~int64](n T) string { return strconv.FormatInt(int64(n), 10) }

func invalid(message string) error {
	return fault.New(fault.Invalid, "%s", message).Remedy("run builds of swiftbeam that fit together")
}
