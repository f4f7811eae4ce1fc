package tunnel

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"swiftbeam/internal/ports"
)

// newScriptedServer answers the first bytes of each connection by serve, which also ends the connection.
func newScriptedServer(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
		if _, err := conn.Read(make([]byte, 1024)); err == nil {
			serve(conn)
		}
		<-t.Context().Done()
	})
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// TestBytesThatEndWithTheConnectionAreCompleteOnlyIfTheServerEndedThem reads a response without a length through a
// tunnel that ends in different ways.
func TestBytesThatEndWithTheConnectionAreCompleteOnlyIfTheServerEndedThem(t *testing.T) {
	part := strings.Repeat("x", 100<<10)
	for _, test := range []struct {
		name     string
		serve    func(*net.TCPConn)
		act      func(near net.Conn, h *Handler)
		complete bool
	}{
		{"the server ends it", func(c *net.TCPConn) { _, _ = io.WriteString(c, part); _ = c.Close() }, nil, true},
		{"the server ends it with a half close", func(c *net.TCPConn) { _, _ = io.WriteString(c, part); _ = c.CloseWrite() }, nil, true},
		{"the server resets it", func(c *net.TCPConn) {
			_, _ = io.WriteString(c, part)
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		}, nil, false},
		{"the other daemon ends its tunnels", func(c *net.TCPConn) { _, _ = io.WriteString(c, part) }, func(_ net.Conn, h *Handler) { h.Close() }, false},
		{"the other daemon is killed", func(c *net.TCPConn) { _, _ = io.WriteString(c, part) }, func(near net.Conn, _ *Handler) { _ = near.Close() }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := newScriptedServer(t, test.serve)
			d, h := newPair(t, address)
			// The kernel closes the connections of a daemon that is killed without a word from the daemon.
			near := interceptTunnels(t, d)
			conn, err := d.DialContext(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := fmt.Fprint(conn, "question"); err != nil {
				t.Fatal(err)
			}
			data := make([]byte, len(part))
			if n, err := io.ReadFull(conn, data); err != nil || string(data) != part {
				t.Fatalf("got %d bytes, error %v, want the part of %d", n, err, len(part))
			}
			if test.act != nil {
				test.act(<-near, h)
			}
			_, err = conn.Read(make([]byte, 1))
			if (err == io.EOF) != test.complete || err == nil {
				t.Errorf("got end %v, want the end of a complete response: %v", err, test.complete)
			}
		})
	}
}

// TestTunnelsBetweenBuildsWithAndWithoutFrames lets one side be of a build without frames. Its bytes must arrive; the
// end of a response is not known then.
func TestTunnelsBetweenBuildsWithAndWithoutFrames(t *testing.T) {
	address := newScriptedServer(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, "answer"); _ = c.Close() })
	t.Run("earlier helper", func(t *testing.T) {
		d, _ := newPair(t, address)
		dialPeer := d.Peer
		d.Peer = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialPeer(ctx, network, address)
			return &plainRequestConn{Conn: conn}, err
		}
		conn, err := d.DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = fmt.Fprint(conn, "question")
		if got, err := io.ReadAll(conn); string(got) != "answer" || !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("got %q, error %v, want the answer and %v", got, err, io.ErrUnexpectedEOF)
		}
	})
	t.Run("earlier dialer", func(t *testing.T) {
		d, _ := newPair(t, address)
		conn, err := net.Dial("tcp", d.Peers()[0].Address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", address, address, testToken)
		_, _ = fmt.Fprint(conn, "question")
		if got, err := io.ReadAll(conn); string(got) != "HTTP/1.1 200 OK\r\n\r\nanswer" || err != nil {
			t.Errorf("got %q, error %v, want the answer without frames", got, err)
		}
	})
}

// plainRequestConn sends the head of a request without the header that asks for frames.
type plainRequestConn struct{ net.Conn }

func (c *plainRequestConn) Write(p []byte) (int, error) {
	if _, err := c.Conn.Write(bytes.ReplaceAll(p, []byte(framedHeader+": 1\r\n"), nil)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// interceptTunnels passes the connections of d to its peer through a relay, and returns the relay's end at d's side.
func interceptTunnels(t *testing.T, d *Dialer) <-chan net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	peer := d.Peers()[0]
	behind := peer.Address
	peer.Address = l.Addr().String()
	d.Peers = func() []Peer { return []Peer{peer} }
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", behind)
			if err != nil {
				_ = near.Close()
				return
			}
			accepted <- near
			go func() { _, _ = io.Copy(far, near); _ = far.Close() }()
			go func() {
				if _, err := io.Copy(near, far); err != nil {
					_ = near.(*net.TCPConn).SetLinger(0)
				}
				_ = near.Close()
			}()
		}
	}()
	return accepted
}

// TestResetsDuringUploadsAreNoEndOfTheBytes resets the connection to the server while the other daemon writes to it, which may
// be the only side to which the system reports the reset.
func TestResetsDuringUploadsAreNoEndOfTheBytes(t *testing.T) {
	const tries, size = 30, 8 << 20
	address := newScriptedServer(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "part")
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	d, _ := newPair(t, address)
	ended := 0
	for range tries {
		conn, err := d.DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		go func() { _, _ = conn.Write(make([]byte, size)) }()
		_, err = io.Copy(io.Discard, conn)
		if err == nil {
			ended++
		}
		_ = conn.Close()
	}
	if ended > 0 {
		t.Errorf("got the end of the bytes in %d of %d tries, want an error", ended, tries)
	}
}
