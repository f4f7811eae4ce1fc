package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/place"
	"swiftbeam/internal/retry"
	"swiftbeam/internal/spool"
)

// Limits of responses that are not streams, which are buffered until they are complete.
const (
	maxResponse = 8 << 20
	// maxRefusal is the size up to which the body of a refusal is read, so that its connection is kept.
	maxRefusal = 64 << 10
)

// handleResponse reads a response. It streams events to the caller and saves any other response, as
// another attempt may replace it.
func (a *attempt) handleResponse(ctx context.Context, server *place.Server, r *http.Response) retry.Result {
	x, p := a.exchange, a.proxy
	defer r.Body.Close()
	defer func() {
		if !a.complete {
			// Close would read the rest of the body, which may not end.
			a.conn.Abort()
		}
	}()
	x.lastResponse = responseInfo{Status: r.StatusCode, ContentType: r.Header.Get("Content-Type"), Framing: framingOf(r)}
	info := p.Dialect.ParseResponse(r.StatusCode, r.Header)
	if !info.Moved {
		a.observeNotices(server, info)
	}
	// A helper checks the connection to its server itself.
	if (info.NotRun || info.Moved) && a.helper == nil && !a.conn.TrustsRefusal(x.request.ID) {
		return a.failed(ctx, server, "refusal that may belong to an earlier request", errors.Newf("status %d", r.StatusCode))
	}
	if promisesNotRun(r.StatusCode) && !info.NotRun && !info.Moved {
		return a.failed(ctx, server, "status of a refusal, but the server does not state that it did not run the request", errors.Newf("status %d", r.StatusCode))
	}
	if framingOf(r) == closeFraming && !info.NotRun && !info.Moved {
		r.Body = &unmarkedBody{ReadCloser: r.Body, events: isEventStream(r), confirm: func() error { return a.confirmEnd(ctx, server) }}
	}
	if x.hop != nil {
		return a.passOn(ctx, server, r, resultOf(r.StatusCode, info))
	}
	if info.NotRun || info.Moved {
		_, err := io.CopyN(io.Discard, r.Body, maxRefusal)
		a.complete = errors.Is(err, io.EOF)
		p.Log.Info("server did not run the request", "id", x.request.ID, "server", server.ID, "status", r.StatusCode)
		x.lastResponse.Ending = "not run"
		return resultOf(r.StatusCode, info)
	}
	success := r.StatusCode >= 200 && r.StatusCode < 300
	if success && (!info.Signed || r.Header.Get("Content-Encoding") != "") {
		return a.failed(ctx, server, "answer without a signature", errors.Newf("status %d", r.StatusCode))
	}
	x.recordRun()
	if isEventStream(r) {
		return a.stream(ctx, server, r)
	}
	if x.responseStarted {
		if a.failed(ctx, server, "answer does not go on with the stream", errors.Newf("status %d", r.StatusCode)) == retry.TimedOut {
			return retry.TimedOut
		}
		return retry.Failed
	}
	body, err := p.spool().Read(ctx, spool.Source{Reader: r.Body, Length: r.ContentLength, Server: server.ID, Interrupt: a.conn.Abort})
	if err != nil {
		if !errors.Is(err, spool.ErrTooLong) && !errors.Is(err, spool.ErrEvicted) {
			a.observeBreak(ctx, server)
		}
		return a.failed(ctx, server, "answer cut short", err)
	}
	a.complete = true
	x.lastResponse.Ending = endingWhole
	x.releaseSaved()
	x.saved = &savedResponse{status: r.StatusCode, header: r.Header, body: body}
	a.recordFirstResponse()
	return resultOf(r.StatusCode, info)
}

// promisesNotRun reports whether callers take a status for the promise that the request was not run.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable
}

// resultOf returns the result of an attempt by the head of its complete response.
func resultOf(status int, info ResponseInfo) retry.Result {
	switch {
	case info.Moved:
		return retry.Moved
	case info.NotRun:
		return retry.NotRun
	case status >= http.StatusInternalServerError:
		return retry.Failed
	}
	return retry.Complete
}

// spool returns the memory for responses.
func (p *Proxy) spool() *spool.Spool {
	p.bodiesOnce.Do(func() { p.bodies.MaxBytes, p.bodies.TotalBytes = maxResponse, spool.TotalFor(p.MemoryBytes) })
	return &p.bodies
}

// AnswersEvicted returns the number of responses that gave up their memory to others.
func (p *Proxy) AnswersEvicted() int64 { return p.spool().Evicted.Load() }

// releaseSaved returns the memory of the saved response.
func (x *exchange) releaseSaved() {
	if x.saved != nil {
		x.saved.body.Release()
	}
}

// recordFirstResponse records the time of the first event or response.
func (a *attempt) recordFirstResponse() {
	x, p := a.exchange, a.proxy
	a.firstResponseAt = p.Clock.Now()
	p.mu.Lock()
	service := p.serviceState(x.service)
	if a.assignment != nil {
		service.FirstResponse(a.assignment)
	}
	a.observeFirstResponse(service)
	p.mu.Unlock()
	if x.firstResponseAt > 0 || x.hop != nil {
		return
	}
	x.firstResponseAt = a.firstResponseAt
	if p.ObserveFirstResponse != nil {
		p.ObserveFirstResponse(x.firstResponseAt.Sub(x.arrived))
	}
}

// recordRun notes that a backend server has begun the request, and counts it once in the account's
// usage.
func (x *exchange) recordRun() {
	x.mayHaveRun = true
	if x.usageCounted || x.account == nil {
		return
	}
	x.usageCounted = true
	p := x.proxy
	p.mu.Lock()
	p.counter.Count(p.ClusterTime(), x.account.Name)
	p.mu.Unlock()
}

// sendSavedResponse sends the saved response to the caller.
func (x *exchange) sendSavedResponse(a retry.Attempt) {
	s := x.saved
	x.copyHeader(s.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(s.body.Length))
	x.closeIfDraining()
	x.status, x.outcome = s.status, "served"
	if a.Result == retry.Failed {
		x.outcome = "failed by server"
	}
	s.body.Interrupt(func() { _ = http.NewResponseController(x.w).SetWriteDeadline(time.Now()) })
	x.w.WriteHeader(s.status)
	for _, block := range s.body.Blocks {
		if _, err := x.w.Write(block); err != nil {
			x.outcome, x.detail = "abandoned", err.Error()
			return
		}
	}
	x.ended = true
}

// copyHeader copies the end-to-end headers of a response to the caller's response.
func (x *exchange) copyHeader(from http.Header) {
	h := x.w.Header()
	copyEndToEnd(h, from)
	if from.Get("Content-Type") == "" {
		h["Content-Type"] = nil
	}
}

// hopByHop lists the headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// EndToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func EndToEndHeaders(from http.Header) http.Header {
	h := make(http.Header, len(from)+4)
	copyEndToEnd(h, from)
	return h
}

// copyEndToEnd copies all headers except the hop-by-hop ones and those that Connection names.
func copyEndToEnd(to, from http.Header) {
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
}

// truncate ends a stream that has begun and is not complete.
func (x *exchange) truncate(message string) {
	x.proxy.Counts.Truncated.Add(1)
	x.outcome, x.detail = "cut", message
}
