package intake

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// heldListener holds up the reads of its first connections.
type heldListener struct {
	net.Listener
	held    int
	release chan struct{}
	// afterRead makes the first read of a connection take its bytes before it is held up.
	afterRead bool
	// taken is closed when that read has taken them.
	taken chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.held == 0 {
		return c, err
	}
	l.held--
	return &heldConn{Conn: c, listener: l}, nil
}

type heldConn struct {
	net.Conn
	listener *heldListener
}

func (c *heldConn) NetConn() net.Conn { return c.Conn }

func (c *heldConn) Read(b []byte) (int, error) {
	l := c.listener
	select {
	case <-l.release:
		return c.Conn.Read(b)
	default:
	}
	if !l.afterRead {
		<-l.release
		return c.Conn.Read(b)
	}
	n, err := c.Conn.Read(b)
	close(l.taken)
	<-l.release
	return n, err
}

// checkEnd checks that the server closes a connection without a response.
func checkEnd(t *testing.T, name string, conn net.Conn) {
	t.Helper()
	var timeout net.Error
	if n, err := conn.Read(make([]byte, 1)); n > 0 || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("%s: got %d bytes, error %v, want the end of the connection", name, n, err)
	}
}

const plainRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// TestNewConnectionsKeepTheirPlaces opens one connection too many before the first one has sent its request.
func TestNewConnectionsKeepTheirPlaces(t *testing.T) {
	l := &Limits{BodyBytes: 1 << 20, MaxWaiting: 2, MaxIdle: 9, MinWait: time.Hour, MaxWait: time.Hour}
	server := start(t, l)
	first := open(t, server, "")
	await(t, func() bool { return l.Waiting() == 1 })
	silent := open(t, server, "")
	await(t, func() bool { return l.Waiting() == 2 })
	last := open(t, server, plainRequest)
	await(t, func() bool { return l.HeldUp.Load()+l.Closed.Load() > 0 })
	if _, err := io.WriteString(first, plainRequest); err != nil {
		t.Fatal(err)
	}
	for name, conn := range map[string]net.Conn{"first connection": first, "last connection": last} {
		if got := status(t, conn); got != http.StatusOK {
			t.Errorf("%s: got status %d, want 200", name, got)
		}
	}
	if _, err := io.WriteString(silent, plainRequest); err != nil {
		t.Fatal(err)
	}
	if got := status(t, silent); got != http.StatusOK {
		t.Errorf("silent connection: got status %d, want 200", got)
	}
	if got := l.Closed.Load(); got != 0 {
		t.Errorf("got %d connections closed, want 0", got)
	}
}

// TestArrivedRequestsKeepTheirPlaces opens one connection too many while the server does not get to read the oldest, on
// which a request has arrived.
func TestArrivedRequestsKeepTheirPlaces(t *testing.T) {
	l := &Limits{BodyBytes: 1 << 20, MaxWaiting: 2, MaxIdle: 9, MaxWait: time.Hour}
	h := &heldListener{held: 1, release: make(chan struct{})}
	server := startHeld(t, l, h, func(*http.Request) {})
	first := open(t, server, plainRequest)
	await(t, func() bool { return l.Waiting() == 1 })
	silent := open(t, server, "")
	await(t, func() bool { return l.Waiting() == 2 })
	if got := status(t, open(t, server, plainRequest)); got != http.StatusOK {
		t.Errorf("last connection: got status %d, want 200", got)
	}
	checkEnd(t, "silent connection", silent)
	close(h.release)
	if got := status(t, first); got != http.StatusOK {
		t.Errorf("first connection: got status %d, want 200", got)
	}
}

// TestUnreadBytesKeepPlacesForATime opens one connection too many while the server does not get to read any other.
func TestUnreadBytesKeepPlacesForATime(t *testing.T) {
	l := &Limits{BodyBytes: 1 << 20, MaxWaiting: 2, MaxIdle: 9, MaxWait: 50 * time.Millisecond}
	h := &heldListener{held: 2, release: make(chan struct{})}
	server := startHeld(t, l, h, func(*http.Request) {})
	defer close(h.release)
	first := open(t, server, plainRequest)
	await(t, func() bool { return l.Waiting() == 1 })
	open(t, server, plainRequest)
	await(t, func() bool { return l.Waiting() == 2 })
	if got := status(t, open(t, server, plainRequest)); got != http.StatusOK {
		t.Errorf("last connection: got status %d, want 200", got)
	}
	checkEnd(t, "first connection", first)
}

// TestRequestsOfClosedConnectionsAreNotHandled closes a connection for another one when its request was read and is not
// handled yet. A request that was passed on from it could not be answered.
func TestRequestsOfClosedConnectionsAreNotHandled(t *testing.T) {
	for name, text := range map[string]string{
		"no body": plainRequest,
		"body":    postHead + "Content-Length: 1\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			l := &Limits{BodyBytes: 1 << 20, MaxWaiting: 1, MaxIdle: 9}
			h := &heldListener{held: 1, afterRead: true, release: make(chan struct{}), taken: make(chan struct{})}
			var handled []string
			server := startHeld(t, l, h, func(r *http.Request) { handled = append(handled, r.RemoteAddr) })
			first := open(t, server, text)
			<-h.taken
			last := open(t, server, plainRequest)
			if got := status(t, last); got != http.StatusOK {
				t.Errorf("last connection: got status %d, want 200", got)
			}
			close(h.release)
			checkEnd(t, "first connection", first)
			server.Close()
			if len(handled) != 1 || handled[0] != last.LocalAddr().String() {
				t.Errorf("got requests of %v handled, want that of %v alone", handled, last.LocalAddr())
			}
		})
	}
}
