package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/place"
	"swiftbeam/internal/retry"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// errTorn tells that a stream ended inside an event.
var errTorn = errors.New("the stream ended inside an event")

// errSequence tells that an event is missing, or came twice.
var errSequence = errors.New("an event is out of sequence")

// events reads whole events of a stream.
type events struct {
	reader *bufio.Reader
	buffer []byte
}

// next returns the bytes of the next event with its ID, or -1 for an event without one. io.EOF
// comes only between events, where the stream ends as its framing says.
func (e *events) next() ([]byte, int64, error) {
	e.buffer = e.buffer[:0]
	id := int64(-1)
	for {
		line, err := e.reader.ReadSlice('\n')
		e.buffer = append(e.buffer, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.buffer) < maxEvent {
			continue
		}
		if err != nil {
			if len(e.buffer) > 0 {
				return nil, id, errors.CombineErrors(errTorn, err)
			}
			return nil, id, err
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				id = n
			}
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e.buffer, id, nil
		}
	}
}

// stream hands on the events of an answer as they arrive.
func (a *attempt) stream(ctx context.Context, server *place.Server, r *http.Response) retry.Result {
	x, f := a.exchange, a.front
	in := &events{reader: bufio.NewReaderSize(r.Body, streamBuffer)}
	flusher := http.NewResponseController(x.w)
	for {
		event, id, err := in.next()
		if err != nil {
			return a.streamEnd(ctx, server, err)
		}
		if id >= 0 && x.events >= 0 && id != x.events+1 {
			return a.lost(ctx, server, "event out of sequence", errors.Wrapf(errSequence, "got %d after %d", id, x.events))
		}
		if x.eventsN == 0 || !x.begun {
			a.answered()
			x.begin(r)
		}
		if _, err := x.w.Write(event); err != nil {
			return a.lost(ctx, server, "caller's connection", err)
		}
		if err := flusher.Flush(); err != nil {
			return a.lost(ctx, server, "caller's connection", err)
		}
		if id >= 0 {
			x.events = id
		}
		x.eventsN++
		f.Counts.Events.Add(1)
	}
}

// streamBuffer holds the events that arrive together.
const streamBuffer = 1 << 10

// begin sends the head of a stream; a resumed stream keeps its first head.
func (x *exchange) begin(r *http.Response) {
	if x.begun {
		return
	}
	x.begun = true
	x.status = r.StatusCode
	x.copyHeader(r.Header)
	x.w.WriteHeader(r.StatusCode)
}

func (a *attempt) streamEnd(ctx context.Context, server *place.Server, err error) retry.Result {
	x := a.exchange
	if !errors.Is(err, io.EOF) || errors.Is(err, errTorn) || errors.Is(err, io.ErrUnexpectedEOF) {
		return a.lost(ctx, server, "stream broke off", err)
	}
	a.whole = true
	if !x.begun {
		return a.lost(ctx, server, "stream without events", err)
	}
	return retry.Complete
}
