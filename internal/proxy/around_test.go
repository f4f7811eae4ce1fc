package proxy

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"swiftbeam/internal/dial"
	"swiftbeam/pkg/clock"
)

// TestSilentVMIsToldFromOneThatRefuses checks the errors of the dialer that connects to servers.
func TestSilentVMIsToldFromOneThatRefuses(t *testing.T) {
	// The queue of a listener that accepts nothing fills up, after which opening packets are dropped.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	silent := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}
	open := dial.Repeater{Timeout: 200 * clock.Millisecond, Dial: (&net.Dialer{}).DialContext}
	for range 4 {
		conn, err := open.DialContext(t.Context(), "tcp4", silent.String())
		if err == nil {
			defer conn.Close()
			continue
		}
		if !dial.IsTimeout(err) {
			t.Errorf("VM that does not respond: got error %v, want a timeout", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err = open.DialContext(ctx, "tcp4", silent.String())
		cancel()
		if !dial.IsTimeout(err) {
			t.Errorf("VM that does not respond, with a shorter limit: got error %v, want a timeout", err)
		}
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if _, err := open.DialContext(t.Context(), "tcp4", l.Addr().String()); err == nil || dial.IsTimeout(err) {
		t.Errorf("VM that refuses: got error %v, want another one than a timeout", err)
	}
}
