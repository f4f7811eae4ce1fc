package intake

import (
	"context"
	"net"
	"syscall"
)

// Listen opens a listener on which the system holds no more than ReadBuffer of the unread bytes of a connection, also of one
// that was not accepted yet.
func (l *Limits) Listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if l.ReadBuffer <= 0 {
			return nil
		}
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.ReadBuffer)
		})
		if err == nil {
			err = setErr
		}
		return err
	}}
	return config.Listen(context.Background(), network, address)
}
