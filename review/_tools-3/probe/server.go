package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is the stand-in of a replica.
type httpRequest = http.Request

type server struct {
	id, service, address, version string
	slots                         int
	born                          int64
	f                             *fleet
	listener                      net.Listener
	mu                            sync.Mutex
	conns                         map[net.Conn]bool
	crashed                       bool
	// handle answers one request, whose body was read. It reports whether the connection stays open.
	handle func(s *server, conn net.Conn, r *httpRequest, body []byte) bool
}

// addServer starts a replica and announces it until the fleet stops.
func (f *fleet) addServer(s *server, n int) error {
	s.f, s.address = f, fmt.Sprintf("%s.%d:%d", f.net, 100+n, serverPort)
	s.born = time.Now().UnixMilli()
	if s.version == "" {
		s.version = "v1"
	}
	var err error
	if s.listener, err = net.Listen("tcp", s.address); err != nil {
		return err
	}
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	go s.announce()
	return nil
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	s.mu.Lock()
	if s.conns == nil {
		s.conns = make(map[net.Conn]bool)
	}
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if want := r.Header.Get("Expect-Replica"); want != "" && want != s.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"))
			continue
		}
		if !s.handle(s, conn, r, body) {
			return
		}
	}
}

func (s *server) announce() {
	for sequence := 1; s.f.ctx.Err() == nil && !s.isCrashed(); sequence++ {
		body := fmt.Sprintf(`{"service": %q, "address": %q, "zone": "a", "version": %q, "slots": %d, "state": "ready", "coldRemainingMs": 0, "sequence": %d, "born": %d}`,
			s.service, s.address, s.version, s.slots, sequence, s.born)
		for _, c := range s.f.cores {
			if status, _ := post(c.ip, "/Replicas.Heartbeat/"+s.id, body); status == http.StatusOK {
				break
			}
		}
		time.Sleep(time.Second)
	}
}

// whole writes a complete answer.
func (s *server) whole(conn net.Conn, r *http.Request, status int, headers, text string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nReplica-Signature: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("Attempt-Id"), s.id, headers, len(text), text)
	return err == nil
}

// crash ends the replica as the system does with a process that is killed.
func (s *server) crash() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *server) isCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}
