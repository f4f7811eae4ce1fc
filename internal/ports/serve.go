package ports

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
)

// Serve accepts connections on a port of the loopback interface until ctx ends, and closes each once serve has returned.
func Serve(ctx context.Context, serve func(conn *net.TCPConn)) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String(), nil
}
