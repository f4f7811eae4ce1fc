package duty

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/dial"
	"swiftbeam/internal/valid"
	"swiftbeam/pkg/clock"
)

// dialTimeout bounds the opening of a connection to the cloud.
const dialTimeout = time.Second

// ErrUnsent marks the errors of calls of which nothing was sent.
var ErrUnsent = errors.New("nothing of the call was sent")

// errLate is the error of a call whose time to be sent has passed.
var errLate = errors.New("the call was not ready in time and may no longer be sent; it is decided anew")

// Gate decides about a call when its connection is open.
type Gate struct {
	Clock clock.Clock
	// Open returns the time until which the call may be sent, and reports whether it may be sent at all.
	Open func() (until clock.Instant, ok bool)
}

type gateKey struct{}

// WithGate returns a context for a call that must pass a gate.
func WithGate(ctx context.Context, g Gate) context.Context {
	return context.WithValue(ctx, gateKey{}, g)
}

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// NewClient returns a client for plain HTTP calls that must not arrive late. A call's gate and deadline are checked again before each
// system call that sends a part of it, and the kernel gives up at the deadline, also while the process is paused.
func NewClient() *http.Client {
	return &http.Client{
		Transport: transport{},
		// A redirected call could be late, though the first one has arrived.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CheckFirst returns a transport that checks the gate and the deadline of a call once, before it passes the call on. It is for calls over
// TLS, whose records are encrypted before they are written.
func CheckFirst(next http.RoundTripper) http.RoundTripper { return checkFirst{next: next} }

type checkFirst struct{ next http.RoundTripper }

// RoundTrip passes a call on if it is not late.
func (c checkFirst) RoundTrip(r *http.Request) (*http.Response, error) {
	isLate, err := newLimit(r.Context(), 0)
	if err == nil && isLate() {
		err = errLate
	}
	if err != nil {
		return nil, errors.Mark(err, ErrUnsent)
	}
	return c.next.RoundTrip(r)
}

// transport makes each call over a connection of its own.
type transport struct{}

// RoundTrip sends a request and returns the response, whose body must be closed.
func (transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	if r.URL.Scheme != "http" {
		return nil, errors.Mark(errors.Newf("the address of the cloud begins with %q; write http://", r.URL.Scheme), ErrUnsent)
	}
	request := r.Clone(ctx)
	request.Close = true
	var data bytes.Buffer
	if err := request.Write(&data); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encode the call"), ErrUnsent)
	}
	c, err := connect(ctx, net.JoinHostPort(r.URL.Hostname(), cmp.Or(r.URL.Port(), "80")))
	if err != nil {
		return nil, errors.Mark(err, ErrUnsent)
	}
	if err := c.send(ctx, data.Bytes()); err != nil {
		_ = c.Close()
		return nil, err
	}
	response, err := receive(c, r)
	if err != nil {
		_ = c.Close()
		return nil, errors.Wrap(err, "read the response")
	}
	response.Body = body{Reader: response.Body, conn: c}
	return response, nil
}

// receive reads the head of the final response.
func receive(c *conn, r *http.Request) (*http.Response, error) {
	limit := &io.LimitedReader{R: c, N: maxHeadBytes}
	in := bufio.NewReader(limit)
	for {
		response, err := http.ReadResponse(in, r)
		if err != nil {
			return nil, err
		}
		if valid.IsInterim(response.StatusCode) {
			continue
		}
		limit.N = math.MaxInt64
		return response, valid.CheckStatus(response.StatusCode)
	}
}

// body is the body of a response, with whose end the connection is closed.
type body struct {
	io.Reader
	conn *conn
}

// Close closes the connection.
func (b body) Close() error { return b.conn.Close() }

// conn is the connection of a call.
type conn struct {
	*net.TCPConn
	// openTime is the time that the connection took to open.
	openTime time.Duration
	// release ends the wait for the end of the call's context.
	release func() bool
}

// Close resets the connection.
func (c *conn) Close() error {
	c.release()
	return c.TCPConn.Close()
}

// connect opens a connection that ends with ctx.
func connect(ctx context.Context, address string) (*conn, error) {
	began := time.Now()
	opened, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the cloud")
	}
	tcp, ok := opened.(*net.TCPConn)
	if !ok {
		_ = opened.Close()
		return nil, errors.Newf("got a connection of type %T, want a TCP connection", opened)
	}
	err = tcp.SetLinger(0)
	if deadline, ok := ctx.Deadline(); ok {
		err = errors.CombineErrors(err, tcp.SetDeadline(deadline))
	}
	if err != nil {
		_ = tcp.Close()
		return nil, errors.Wrap(err, "set the options of the connection")
	}
	c := &conn{TCPConn: tcp, openTime: time.Since(began)}
	c.release = context.AfterFunc(ctx, func() { _ = tcp.Close() })
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: tcp})
	}
	return c, nil
}

// send writes a call for as long as it may be sent.
func (c *conn) send(ctx context.Context, data []byte) error {
	isLate, err := newLimit(ctx, c.openTime)
	if err != nil {
		return errors.Mark(err, ErrUnsent)
	}
	raw, err := c.SyscallConn()
	if err == nil {
		err = c.limitRetransmission(ctx)
	}
	if err != nil {
		return errors.Mark(err, ErrUnsent)
	}
	sent := 0
	waitErr := raw.Write(func(fd uintptr) bool {
		for sent < len(data) {
			// Nothing that can take long may come between the check and the system call.
			if isLate() {
				err = errLate
				return true
			}
			var n int
			n, err = syscall.Write(int(fd), data[sent:])
			sent += max(n, 0)
			switch {
			case errors.Is(err, syscall.EAGAIN):
				return false
			case err != nil && !errors.Is(err, syscall.EINTR):
				return true
			}
		}
		return true
	})
	if err = errors.CombineErrors(err, waitErr); err != nil {
		err = errors.Wrap(err, "send the call")
		if sent == 0 {
			err = errors.Mark(err, ErrUnsent)
		}
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.WroteRequest != nil {
		trace.WroteRequest(httptrace.WroteRequestInfo{Err: err})
	}
	return err
}

// limitRetransmission makes the kernel give up when what it sends again would arrive after the deadline of the call.
func (c *conn) limitRetransmission(ctx context.Context) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	oneWay := c.openTime / 2
	return dial.SetAckTimeout(c, clock.FromStd(time.Until(deadline)-oneWay))
}

// newLimit opens the gate of a call and returns a function that reports whether it is too late to send more of the call, which takes
// transit to arrive.
func newLimit(ctx context.Context, transit time.Duration) (isLate func() bool, err error) {
	deadline, limited := ctx.Deadline()
	g, gated := ctx.Value(gateKey{}).(Gate)
	until := clock.Instant(0)
	if gated {
		var ok bool
		if until, ok = g.Open(); !ok {
			return nil, errLate
		}
	}
	return func() bool {
		if gated {
			clock.Refresh(g.Clock)
		}
		return limited && !time.Now().Add(transit).Before(deadline) || gated && g.Clock.Now().After(until)
	}, nil
}
