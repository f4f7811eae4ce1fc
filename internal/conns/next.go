package conns

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// Listener returns a listener of TCP connections for the server of the tracker.
func (t *Tracker) Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &conn{TCPConn: tcp}, err
	}
	return c, err
}

// conn counts the requests that are read from a connection.
type conn struct {
	*net.TCPConn
	framer  framer
	arrived atomic.Int64
	handled atomic.Int64
	// begun is set while a request was read in part.
	begun atomic.Bool
}

// NetConn returns the TCP connection.
func (c *conn) NetConn() net.Conn { return c.TCPConn }

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.arrived.Add(int64(c.framer.count(b[:n])))
	c.begun.Store(c.framer.isWithin())
	return n, err
}

// hasInput reports whether a request has arrived, in whole or in part, that is not handled yet.
func (c *conn) hasInput() bool {
	if c.begun.Load() || c.arrived.Load() > c.handled.Load() {
		return true
	}
	return HasUnread(c)
}

// HasUnread reports whether bytes have arrived on a connection that were not read.
func HasUnread(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	// Control, unlike Read, does not wait for a read in progress.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = peekErr == nil && n > 0
	})
	return err == nil && unread
}

// HasNext reports whether a whole further request was read from the connection of r. It is not certain: behind a request
// whose body is sent in chunks, it reports false.
func HasNext(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return ok && c.arrived.Load() > c.handled.Load()
}

// maxLine is the length up to which a line of a head is kept; the fields that matter are shorter.
const maxLine = 64

// framer finds the ends of requests. Its result is a hint only: what a request is, net/http decides.
type framer struct {
	line []byte
	// begun is set within a head, body is the number of bytes until the end of a body.
	begun bool
	body  int64
	// length is the body's length that the head names.
	length int64
	// lost is set when the end of a request cannot be found.
	lost bool
}

// isWithin reports whether the last bytes are known to be part of a request that has not ended.
func (f *framer) isWithin() bool { return !f.lost && (f.begun || f.body > 0 || len(f.line) > 0) }

// count returns the number of requests that end in the next bytes of the connection.
func (f *framer) count(b []byte) int {
	ended := 0
	for len(b) > 0 && !f.lost {
		if f.body > 0 {
			n := min(f.body, int64(len(b)))
			f.body -= n
			b = b[n:]
			if f.body == 0 {
				ended++
			}
			continue
		}
		line, rest, whole := bytes.Cut(b, []byte{'\n'})
		f.line = append(f.line, line[:min(len(line), maxLine-min(maxLine, len(f.line)))]...)
		b = rest
		if whole && f.endLine() {
			ended++
		}
	}
	return ended
}

// endLine interprets the line. It reports whether a request without a body has ended.
func (f *framer) endLine() bool {
	line := bytes.TrimSpace(f.line)
	f.line = f.line[:0]
	if len(line) > 0 {
		f.begun = true
		name, value, _ := bytes.Cut(line, []byte{':'})
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			f.length, f.lost = n, err != nil || n < 0
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.lost = true
		}
		return false
	}
	if !f.begun {
		return false
	}
	f.begun = false
	f.body, f.length = f.length, 0
	return f.body == 0
}
