package dial

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// tcpClose is the state of a connection that was reset, as TCP_INFO names it. One that the peer has ended in order is in
// another state, until this side ends it too.
const tcpClose = 7

// WasReset reports whether the peer has reset a connection that was not closed by this side. It reports false for
// connections without a socket.
func WasReset(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		// The state is the first byte.
		info, infoErr := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		reset = infoErr == nil && info&0xff == tcpClose
	})
	return err == nil && reset
}

// ReportResets returns a function that opens connections like open. Their Read returns an error after a reset, never
// io.EOF: the system reports a reset once, and if it was to a Write, the next read finds the end of the connection, as after
// a response that ends with it.
func ReportResets(open Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return ReportReset(conn), nil
	}
}

// ReportReset does for a connection what ReportResets does.
func ReportReset(conn net.Conn) net.Conn { return &resetConn{Conn: conn} }

type resetConn struct {
	net.Conn
	// broken is set once a Write has failed.
	broken atomic.Bool
}

// Write writes to the connection.
func (c *resetConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.broken.Store(true)
	}
	return n, err
}

// Read reads from the connection.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && (c.broken.Load() || WasReset(c.Conn)) {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// NetConn returns the connection itself.
func (c *resetConn) NetConn() net.Conn { return c.Conn }
