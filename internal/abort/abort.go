// Package abort ends HTTP responses that are not whole, so that they do not look complete.
package abort

import (
	"net"
	"net/http"
)

// Response closes the connection without completing the response. It does not return.
func Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// Without chunks, the body ends with the connection, so that only a reset tells that it is incomplete.
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
	}
	// net/http closes the connection without completing the response.
	panic(http.ErrAbortHandler)
}

// reset closes the connection without the alert that marks an orderly end in TLS.
func reset(conn net.Conn) {
	conn = innermost(conn)
	setLinger(conn, 0)
	_ = conn.Close()
}

// setLinger sets for how long, in seconds, closing the connection waits until its bytes are sent: 0 resets it, -1 is the
// default.
func setLinger(conn net.Conn, seconds int) {
	if plain, ok := innermost(conn).(*net.TCPConn); ok {
		_ = plain.SetLinger(seconds)
	}
}

// innermost returns the connection that a TLS connection or another wrapper uses.
func innermost(conn net.Conn) net.Conn {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = outer.NetConn()
	}
}
