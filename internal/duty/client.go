package duty

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// dialTimeout bounds the opening of a connection to the cloud.
const dialTimeout = time.Second

// NewClient returns an HTTP client whose connections are reset when a call's context ends, so that
// the kernel does not retransmit the call later, when another holder may already have sent one.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				err = tcp.SetLinger(0)
			}
			return conn, errors.Wrap(err, "disable lingering of the connection")
		},
	}}
}
