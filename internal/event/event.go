// Package event reads a stream of server-sent events block by block and tells which blocks go on where the stream of a
// caller ends:
//
//	in := event.NewReader(response.Body)
//	block, err := in.Next()                  // io.EOF only between two blocks
//	if err == nil { err = sequence.Add(block) } // an error means that the block must not reach the caller
//	_, err = caller.Write(block.Bytes)
//
// A Sequence outlives the responses that a stream is joined from. A response that does not go on with the very
// next event is no continuation, whatever its status says.
package event

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

//go:generate ../../.tools/stringer -type=Kind -output=kind_string.go

// Kind is what a block of a stream is.
type Kind uint8

// Kinds of blocks.
const (
	// Message is an event with data or an ID.
	Message Kind = iota
	// Comment has comments or a reconnection time only. It keeps the connection alive.
	Comment
	// Foreign has lines that no event has, such as the text of an error.
	Foreign
)

// MaxBytes bounds a block, in bytes.
const MaxBytes = 256 << 10

const (
	// bufferBytes is room for a few events that arrive together.
	bufferBytes = 1 << 10
	// growthFactor is by how much the buffer of a block grows.
	growthFactor = 4
)

// NoID is the ID of an event without one.
const NoID = -1

// Errors of Reader and Sequence.
var (
	// ErrTruncated reports that a stream ended inside a block.
	ErrTruncated = errors.New("the stream ended inside an event")
	// ErrTooLong reports a block of more than MaxBytes.
	ErrTooLong = errors.Newf("an event is longer than %d bytes", MaxBytes)
	// ErrForeign reports a block that is not an event.
	ErrForeign = errors.New("the stream has text that is not an event")
	// ErrSequence reports that an event is missing, was repeated or has no place in the stream.
	ErrSequence = errors.New("an event is out of sequence")
)

// Block is a part of a stream up to and including a blank line.
type Block struct {
	// Bytes are valid until the next call of Next.
	Bytes []byte
	Kind  Kind
	// ID is the number of a Message; NoID if it has none.
	ID int64
}

// Reader reads the blocks of a stream. Lines end with a line feed, a carriage return, or both.
type Reader struct {
	reader *bufio.Reader
	buffer []byte
	begun  bool
	// returned is set after a carriage return; a line feed that follows belongs to the line that it ended.
	returned bool
}

// NewReader returns a reader of a response's body.
func NewReader(body io.Reader) *Reader {
	return &Reader{reader: bufio.NewReaderSize(body, bufferBytes)}
}

// grow enlarges the buffer in few steps, as the buffers of many long events would leave more garbage than there is memory for.
func (r *Reader) grow() {
	size := min(max(growthFactor*cap(r.buffer), bufferBytes), MaxBytes)
	r.buffer = append(make([]byte, 0, size), r.buffer...)
}

// Next returns the next block. It returns io.EOF only between two blocks and when the body's framing marks the end.
func (r *Reader) Next() (Block, error) {
	r.buffer = r.buffer[:0]
	var lines blockLines
	lineStart := 0
	for {
		c, err := r.reader.ReadByte()
		if err != nil {
			if len(r.buffer) == 0 {
				return Block{}, err
			}
			if len(r.buffer) == lineStart && lines == (blockLines{}) {
				// Only the line feed of the last line end is left.
				return Block{Bytes: r.buffer, Kind: Comment, ID: NoID}, nil
			}
			return Block{}, errors.CombineErrors(ErrTruncated, err)
		}
		if len(r.buffer) == MaxBytes {
			return Block{}, ErrTooLong
		}
		if len(r.buffer) == cap(r.buffer) {
			r.grow()
		}
		r.buffer = append(r.buffer, c)
		continues := c == '\n' && r.returned
		r.returned = c == '\r'
		if continues {
			lineStart = len(r.buffer)
			continue
		}
		if c != '\n' && c != '\r' {
			continue
		}
		line := r.buffer[lineStart : len(r.buffer)-1]
		lineStart = len(r.buffer)
		if !r.begun {
			r.begun = true
			line = bytes.TrimPrefix(line, []byte("\uFEFF"))
		}
		if len(line) > 0 {
			lines.add(line)
			continue
		}
		r.takeLineFeed()
		b := Block{Bytes: r.buffer, Kind: lines.kind(), ID: NoID}
		if b.Kind == Message && lines.numbered {
			b.ID = lines.id
		}
		return b, nil
	}
}

// takeLineFeed adds the line feed after a carriage return if it has arrived already.
func (r *Reader) takeLineFeed() {
	if !r.returned || r.reader.Buffered() == 0 {
		return
	}
	if next, err := r.reader.Peek(1); err == nil && next[0] == '\n' {
		_, _ = r.reader.Discard(1)
		r.buffer, r.returned = append(r.buffer, '\n'), false
	}
}

// blockLines classifies the lines of a block.
type blockLines struct {
	message  bool
	foreign  bool
	numbered bool
	id       int64
	// own is set after a field that the format of events does not define, fields after one that it does.
	own    bool
	fields bool
}

func (l *blockLines) add(line []byte) {
	name, value, hasValue := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "":
		// A comment.
	case "id":
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		l.id, l.numbered = int64(n), err == nil
		l.message, l.fields = true, true
	case "data":
		l.message, l.fields = true, true
	case "event", "retry":
		l.fields = true
	default:
		// Servers put fields of their own before those of the event. Behind them, such lines come from something else.
		l.foreign = l.foreign || l.fields || !hasValue || !isFieldName(name)
		l.own = true
	}
}

// isFieldName reports whether a name can be that of a server's own field: lower-case letters, digits and hyphens.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

func (l *blockLines) kind() Kind {
	switch {
	case l.foreign:
		return Foreign
	case l.message:
		return Message
	case l.own:
		return Foreign
	}
	return Comment
}

// Sequence is the state of a stream as its caller has it.
type Sequence struct {
	// Last is the ID of the last event; NoID if there is none.
	Last int64
	// Events counts the events.
	Events int
	// Unnumbered is set once the caller has an event without an ID.
	Unnumbered bool
}

// Add records the next block of a stream. It returns an error, and records nothing, if the block does not go on
// where the stream ends.
func (s *Sequence) Add(b Block) error {
	switch {
	case b.Kind == Comment:
		return nil
	case b.Kind == Foreign:
		return ErrForeign
	case b.ID == NoID && s.Last != NoID:
		return errors.Wrapf(ErrSequence, "got an event without an ID after %d", s.Last)
	case b.ID == NoID:
		s.Unnumbered = true
	case s.Last != NoID && b.ID != s.Last+1:
		return errors.Wrapf(ErrSequence, "got %d after %d", b.ID, s.Last)
	case s.Unnumbered:
		return errors.Wrapf(ErrSequence, "got %d after an event without an ID", b.ID)
	default:
		s.Last = b.ID
	}
	s.Events++
	return nil
}

// Resumable reports whether another response can go on where the stream ends. After an event without an ID, no server
// can be told where that is.
func (s *Sequence) Resumable() bool { return !s.Unnumbered }
