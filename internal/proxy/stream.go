package proxy

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/event"
	"swiftbeam/internal/place"
	"swiftbeam/internal/retry"
)

// stream passes the events of a response to the caller as they arrive.
func (a *attempt) stream(ctx context.Context, server *place.Server, r *http.Response) retry.Result {
	x := a.exchange
	a.continues = x.responseStarted
	in := event.NewReader(r.Body)
	flusher := http.NewResponseController(x.w)
	for {
		block, err := in.Next()
		if err != nil {
			return a.endStream(ctx, server, r, err)
		}
		if err := x.addEvent(block); err != nil {
			return a.failed(ctx, server, "event out of sequence", err)
		}
		if block.Kind == event.Message {
			a.observeEvent()
		}
		x.startStream(r)
		if _, err := x.w.Write(block.Bytes); err != nil {
			return a.failed(ctx, server, "caller's connection", err)
		}
		if err := flusher.Flush(); err != nil {
			return a.failed(ctx, server, "caller's connection", err)
		}
	}
}

// addEvent adds the next block to the stream. It returns an error if the block must not reach the caller.
func (x *exchange) addEvent(b event.Block) error {
	if b.ID != event.NoID && x.sequence.Last == event.NoID && !x.sequence.Unnumbered && x.request.After == event.NoID {
		p := x.proxy
		p.mu.Lock()
		late := p.serviceState(x.service).startsOf(x.version).Add(b.ID)
		p.mu.Unlock()
		if late {
			return errors.Wrapf(event.ErrSequence, "the stream begins with %d", b.ID)
		}
	}
	return x.sequence.Add(b)
}

// observeEvent records an event that is sent to the caller.
func (a *attempt) observeEvent() {
	x, p := a.exchange, a.proxy
	p.Counts.Events.Add(1)
	if a.firstEventAt > 0 {
		return
	}
	a.firstEventAt = p.Clock.Now()
	x.joined++
	if !a.continues {
		a.recordFirstResponse()
	}
}

// startStream sends the head of a stream to the caller; a resumed stream keeps its first head.
func (x *exchange) startStream(r *http.Response) {
	if x.responseStarted {
		return
	}
	x.responseStarted = true
	x.status = r.StatusCode
	x.copyHeader(r.Header)
	x.closeIfDraining()
	x.w.WriteHeader(r.StatusCode)
}

func (a *attempt) endStream(ctx context.Context, server *place.Server, r *http.Response, err error) retry.Result {
	x := a.exchange
	switch {
	case !errors.Is(err, io.EOF) || errors.Is(err, event.ErrTruncated) || errors.Is(err, io.ErrUnexpectedEOF):
		a.observeBreak(ctx, server)
		return a.failed(ctx, server, "stream broke off", err)
	case x.sequence.Events == 0 && x.request.After == event.NoID:
		a.complete = true
		a.observeBreak(ctx, server)
		return a.failed(ctx, server, "stream without events", err)
	}
	x.startStream(r)
	a.complete = true
	x.lastResponse.Ending = endingWhole
	return retry.Complete
}
