// Package ports reserves TCP ports on the loopback interface, for tests and deployments in one process:
//
//	p, err := ports.Reserve()
//	defer p.Release()
//	l, err := net.Listen("tcp", p.Address)
//
// A reserved port is assigned to no other socket, whether a listener is open on it at the moment or not.
package ports

import (
	"net"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Port is a reserved port.
type Port struct {
	Address string

	socket int
}

// Reserve returns an unused port of the loopback interface.
func Reserve() (*Port, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open a socket")
	}
	p := &Port{socket: socket}
	if err := p.bind(); err != nil {
		p.Release()
		return nil, errors.Wrap(err, "reserve a port")
	}
	return p, nil
}

// bind binds the socket without listening. As both sockets set SO_REUSEADDR, net.Listen can use the port.
func (p *Port) bind() error {
	if err := syscall.SetsockoptInt(p.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	loopback := &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := syscall.Bind(p.socket, loopback); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(p.socket)
	if err != nil {
		return err
	}
	p.Address = net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*syscall.SockaddrInet4).Port))
	return nil
}

// Release ends the reservation.
func (p *Port) Release() { _ = syscall.Close(p.socket) }
