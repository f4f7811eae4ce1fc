package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// framedHeader asks the helper for frames, and confirms them. An earlier build sends none.
const framedHeader = "Swiftbeam-Framed"

const (
	// frameHeadBytes is the size of the length before the bytes of a frame. A frame of length zero is the last one.
	frameHeadBytes = 4
	maxFrameBytes  = 32 << 10
)

// copyFramed sends what it reads in frames, and the last frame if the sender ended its connection in order.
func copyFramed(to io.Writer, from io.Reader) error {
	frame := make([]byte, frameHeadBytes+maxFrameBytes)
	for {
		n, err := from.Read(frame[frameHeadBytes:])
		if n > 0 {
			binary.BigEndian.PutUint32(frame, uint32(n))
			if _, err := to.Write(frame[:frameHeadBytes+n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = to.Write(make([]byte, frameHeadBytes))
			return err
		}
		if err != nil {
			return err
		}
	}
}

// helperConn is the connection to a helper. The end of the connection alone does not show that the server ended
// its bytes, as the helper may have ended or lost the server: Read returns io.EOF after the last frame only.
type helperConn struct {
	net.Conn
	reader *bufio.Reader
	framed bool
	// left is the number of bytes of the frame that are not read yet.
	left  int
	ended bool
}

// Read reads bytes of the server.
func (c *helperConn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if !c.framed {
		n, err := c.reader.Read(p)
		return n, unexpectedEnd(err)
	}
	if c.left == 0 {
		// Peek keeps a part of the length for the next call.
		head, err := c.reader.Peek(frameHeadBytes)
		if err != nil {
			return 0, unexpectedEnd(err)
		}
		c.left = int(binary.BigEndian.Uint32(head))
		_, _ = c.reader.Discard(frameHeadBytes)
		if c.ended = c.left == 0; c.ended {
			return 0, io.EOF
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, unexpectedEnd(err)
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
