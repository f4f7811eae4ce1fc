// Package dial opens TCP connections over networks that lose packets, and to VMs that are just starting:
//
//	d := dial.Repeater{Timeout: 500 * clock.Millisecond, Dial: dialer.DialContext}
//	conn, err := d.DialContext(ctx, "tcp4", address)
//
// The operating system repeats a lost opening packet only after a second. A Repeater starts another
// attempt after Interval while the earlier ones go on, and returns the first connection that opens. An
// attempt that is refused ends the call, as the address has no listener then.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/runner"
	"swiftbeam/pkg/clock"
)

// Interval is the time after which another attempt starts: several round trips between regions.
const Interval = 150 * clock.Millisecond

// EndPause is the time in which the system closes all connections and the listener of a process that was killed. After it, a new
// connection shows that the process which has closed another one runs on.
const EndPause = 20 * clock.Millisecond

// endingTime is the time for which a process that ends may accept connections after it has closed those that it had.
const endingTime = 300 * clock.Millisecond

// HasEnded reports whether a process that closed a connection has ended. probe opens a connection to it, and reports whether
// its VM refused that. If it opens, HasEnded tries again after endingTime.
func HasEnded(ctx context.Context, probe func(ctx context.Context) (refused bool, err error)) bool {
	refused, err := probe(ctx)
	if err == nil {
		runner.Pause(ctx, endingTime)
		refused, _ = probe(ctx)
	}
	return refused
}

// Func is the type of the DialContext method of a net.Dialer.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Repeater opens connections by repeated attempts. All fields must be set.
type Repeater struct {
	// Timeout bounds all attempts together.
	Timeout clock.Duration
	Dial    Func
}

type result struct {
	conn net.Conn
	err  error
}

// DialContext returns the first connection that opens.
func (r Repeater) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout.Std())
	results := make(chan result)
	attempts := 0
	defer func() {
		cancel()
		go discard(results, attempts)
	}()
	attempt := func() {
		attempts++
		go func() {
			conn, err := r.Dial(ctx, network, address)
			results <- result{conn, err}
		}()
	}
	attempt()
	ticker := time.NewTicker(Interval.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if ctx.Err() == nil {
				attempt()
			}
		case first := <-results:
			attempts--
			return first.conn, first.err
		}
	}
}

// discard closes the connections of the remaining attempts.
func discard(results <-chan result, attempts int) {
	for range attempts {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// Bounds of ReadBuffer. The greatest lets a peer at 80 ms one way send 400 KB/s.
const (
	minReadBuffer   = 16 << 10
	maxReadBuffer   = 64 << 10
	readBufferParts = 2048
)

// ReadBuffer returns what the system may hold of the unread bytes of each connection of a process with the given memory, to which
// they count. The system doubles it for its own use.
func ReadBuffer(memoryBytes int64) int {
	if memoryBytes <= 0 {
		return maxReadBuffer
	}
	return int(min(max(memoryBytes/readBufferParts, minReadBuffer), maxReadBuffer))
}

// IsTimeout reports whether a connection could not be opened because the other VM did not respond.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 18

// SetAckTimeout makes the system end a connection when data is not acknowledged in time. It overrides the number of keep-alive
// probes.
func SetAckTimeout(conn syscall.Conn, d clock.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the socket")
	}
	var setErr error
	err = raw.Control(func(fd uintptr) { setErr = SetAckTimeoutOf(fd, d) })
	return errors.CombineErrors(err, setErr)
}

// SetAckTimeoutOf is SetAckTimeout for a socket.
func SetAckTimeoutOf(fd uintptr, d clock.Duration) error {
	err := syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(max(d, 1)))
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}
