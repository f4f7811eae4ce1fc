package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/abort"
	"swiftbeam/internal/detour"
	"swiftbeam/internal/event"
	"swiftbeam/internal/hops"
	"swiftbeam/internal/place"
	"swiftbeam/internal/retry"
	"swiftbeam/internal/rules"
	"swiftbeam/internal/spool"
	"swiftbeam/pkg/clock"
)

const (
	// maxAssistAttempts is the number of servers that a helper tries to connect to for one request.
	maxAssistAttempts = 2
	// assistMargin is the time after a request's deadline at which a helper ends it by itself.
	assistMargin = 500 * clock.Millisecond
	// passBufferBytes is the buffer of a response that a helper passes on: a few events of a stream.
	passBufferBytes = 4 << 10
)

// ServeHop serves a request that another entry daemon received from its caller. The other daemon has
// admitted the request and decides on further attempts; this one makes a single attempt, and counts it for
// the limits and pauses that servers asked this daemon for.
func (p *Proxy) ServeHop(w http.ResponseWriter, r *http.Request) {
	p.requests.Add(1)
	defer p.requests.Done()
	p.Counts.Assisted.Add(1)
	hop, err := hops.ParseRequest(r.Header.Get(hops.Header))
	if err != nil {
		p.Log.Error(err, "request of another daemon rejected")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Header.Del(hops.Header)
	r.Header.Del("Authorization")
	x := &exchange{
		proxy: p, w: w, r: r, arrived: p.Clock.Now(), hop: &hop, service: hop.Service, sequence: event.Sequence{Last: hop.After}, tried: hop.Avoid,
		usageCounted: true, account: &rules.Account{Name: hop.Account},
	}
	if hop.Account == "" {
		x.account = nil
	}
	x.serveHop()
	p.Log.Info("request of another daemon", "id", x.request.ID, "from", hop.From, "service", x.service, "outcome", x.outcome, "status", x.status,
		"server", x.server, "version", x.version, "expectedMs", int(x.expectedWait), "remainingMs", int64(hop.Remaining), "tookMs", int64(p.Clock.Now().Sub(x.arrived)))
	if !x.ended {
		abort.Response(w, r)
	}
}

func (x *exchange) serveHop() {
	p := x.proxy
	x.w.WriteHeader(http.StatusProcessing)
	x.w.Header()["Date"] = nil
	length := max(x.r.ContentLength, 0)
	if p.Draining.Load() || length > defaultMaxBody || !p.Room.Take(x.hop.Urgency, length) {
		x.endHop(hops.Response{Outcome: detour.NoRoom})
		return
	}
	defer p.Room.Release(length)
	x.deadline = x.arrived.Add(x.hop.Remaining)
	// The other daemon ends the request at its deadline. This one does only if the connection is lost without a sign.
	ctx, stopWaiting := p.untilStop(x.r.Context())
	defer stopWaiting()
	ctx, cancel := context.WithTimeout(ctx, (x.hop.Remaining + assistMargin).Std())
	defer cancel()
	var err error
	if x.request, err = p.Dialect.ParseRequest(x.r); err != nil {
		x.endHop(hops.Response{Outcome: detour.NoServer})
		return
	}
	if length > 0 {
		if x.body, err = readLength(x.r.Body, length); err != nil {
			x.outcome = "body cut short"
			return
		}
	}
	x.suspects = x.findParts()
	if versions := x.hop.Versions; len(versions) > 0 {
		x.allowVersion = func(v string) bool { return slices.Contains(versions, v) }
	}
	x.attemptHop(ctx)
}

// attemptHop makes the attempt. It tries another server only while no byte of the request was sent.
func (x *exchange) attemptHop(ctx context.Context) {
	p := x.proxy
	for range maxAssistAttempts {
		choice := x.chooseAssistServer()
		if x.pathState() == detour.Cut && choice.Server == nil {
			break
		}
		if choice.Server == nil || choice.Wait > maxExpectedWaitFraction*float64(x.deadline.Sub(p.Clock.Now())) {
			wait, _ := x.untilServer()
			x.endHop(hops.Response{Outcome: detour.NoServer, RetryAfter: wait})
			return
		}
		a := &attempt{exchange: x, choice: choice}
		result := a.run(ctx)
		switch {
		case x.responseStarted && !a.complete:
			x.outcome = "cut"
			return
		case x.responseStarted:
			x.outcome = detour.Answered.String()
			return
		case result != retry.Unsent:
			x.endHop(hops.Response{Outcome: detour.Broken, Server: x.server, Version: x.version, Wait: clock.Duration(x.expectedWait)})
			return
		}
	}
	x.endHop(hops.Response{Outcome: detour.Unreached})
}

// chooseAssistServer chooses the server for the attempt. While the path is cut, it chooses only servers to which a
// connection is open.
func (x *exchange) chooseAssistServer() place.Choice {
	p := x.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.serviceState(x.service)
	x.idleOnly, x.idleSince = s.Path.State == detour.Cut, s.Path.TrustedSince()
	return x.chooseOf(s)
}

// endHop responds to the other daemon without the response of a server.
func (x *exchange) endHop(r hops.Response) {
	x.status, x.outcome, x.ended = http.StatusServiceUnavailable, r.Outcome.String(), true
	r.Nonce = x.hop.Nonce
	h := x.w.Header()
	h.Set(hops.Header, r.Encode())
	h.Set("Content-Length", "0")
	x.w.WriteHeader(x.status)
}

// passOn sends the response of a server to the other daemon as it arrives. If the server breaks off before the first byte
// of the body, nothing is sent, so that the other daemon learns that it was the server. A body ends where the other daemon
// finds it too long, as what is read beyond that only fills the buffers between the daemons.
func (a *attempt) passOn(ctx context.Context, server *place.Server, r *http.Response, result retry.Result) retry.Result {
	x := a.exchange
	flusher := http.NewResponseController(x.w)
	b := make([]byte, passBufferBytes)
	limited, passed := !isEventStream(r), 0
	for {
		n, err := r.Body.Read(b)
		passed += n
		ended := errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
		if !x.responseStarted && (n > 0 || ended) {
			a.startPassing(server, r)
		}
		if n > 0 {
			if a.firstResponseAt == 0 {
				a.recordFirstResponse()
				a.firstEventAt = a.firstResponseAt
			}
			if _, err := x.w.Write(b[:n]); err != nil {
				return a.failed(ctx, server, "other daemon's connection", err)
			}
			if err := flusher.Flush(); err != nil {
				return a.failed(ctx, server, "other daemon's connection", err)
			}
		}
		if limited && passed > maxResponse {
			return a.failed(ctx, server, "answer cut short", errors.Wrapf(spool.ErrTooLong, "more than %d bytes", maxResponse))
		}
		if ended {
			a.complete, x.ended = true, true
			return result
		}
		if err != nil {
			a.observeBreak(ctx, server)
			return a.failed(ctx, server, "answer cut short", err)
		}
	}
}

// startPassing writes the head of the response.
func (a *attempt) startPassing(server *place.Server, r *http.Response) {
	x := a.exchange
	x.copyHeader(r.Header)
	hop := hops.Response{Outcome: detour.Answered, Nonce: x.hop.Nonce, Server: server.ID, Version: server.Version, Wait: clock.Duration(a.choice.Wait), Cached: a.choice.Cached}
	x.w.Header().Set(hops.Header, hop.Encode())
	if r.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	x.status, x.responseStarted = r.StatusCode, true
	x.w.WriteHeader(r.StatusCode)
}

// maxBodyAtOnce is the length of a body up to which its memory is taken before it arrives.
const maxBodyAtOnce = 4 << 20

// readLength reads n bytes. For more than maxBodyAtOnce it takes memory as they arrive.
func readLength(r io.Reader, n int64) ([]byte, error) {
	if n <= maxBodyAtOnce {
		body := make([]byte, n)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var body bytes.Buffer
	body.Grow(maxBodyAtOnce)
	_, err := io.CopyN(&body, r, n)
	return body.Bytes(), err
}
