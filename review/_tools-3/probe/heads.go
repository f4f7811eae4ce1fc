package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["heads"] = playHeads }

const plainRules = `{"version": 1, "routes": [
 {"name": "look", "host": "desk.example", "pathPrefix": "/look/", "kind": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 0, "service": "ledger", "maxAttempts": 2}],
 "services": [{"name": "ledger", "healthPath": "/healthz", "maxConnections": 100}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "shop", "apiKeys": ["key-1"]}]}`

// The machine of an entry daemon, and the clients that do not end their heads.
const (
	machineMB          = 284
	machineDescriptors = 4100
	headClients        = 500
	headBytes          = 62 << 10
	headsTime          = 42 * time.Second
	// headPause is the time after which a client whose connection has ended opens another one.
	headPause = 500 * time.Millisecond
)

// shortFields returns header fields with names that are as short as possible.
func shortFields(bytes int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for n := 0; b.Len() < bytes; n++ {
		name := ""
		for k := n; ; k = k/len(letters) - 1 {
			name += string(letters[k%len(letters)])
			if k < len(letters) {
				break
			}
		}
		b.WriteString("x" + name + ":\r\n")
	}
	return b.String()
}

// playHeads opens connections whose heads do not end, each of headBytes so far, beside ordinary requests.
func playHeads(p *play) (int, error) {
	descriptors := syscall.Rlimit{Cur: machineDescriptors, Max: machineDescriptors}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &descriptors); err != nil {
		return unable, fmt.Errorf("%d descriptors: %w", machineDescriptors, err)
	}
	f := newFleet(p.binary, p.folder, 3, 2, machineMB, p.record)
	p.fleet = f
	defer f.stop()
	if err := f.start(); err != nil {
		return unable, err
	}
	if err := f.order("/Config.Replace", plainRules); err != nil {
		return unable, err
	}
	answer := func(s *server, conn net.Conn, r *httpRequest, _ []byte) bool {
		p.printf("%s runs %s", s.id, r.Header.Get("Attempt-Id"))
		return s.whole(conn, r, 200, "", "fine")
	}
	if err := f.addServer(&server{id: "i-1", service: "ledger", slots: 16, handle: answer}, 1); err != nil {
		return unable, err
	}
	if err := f.awaitReady(); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	for _, e := range f.entries {
		if status, text := send(e.ip, "GET", "/look/first", "first", "key-1", "", 4*time.Second); status != 200 {
			return unable, fmt.Errorf("first request: %d %s", status, text)
		}
	}
	head := "GET /look/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: crowd\r\nAuthorization: Token key-1\r\n\r\n"
	if p.trouble {
		head = "GET /look/1 HTTP/1.1\r\nHost: desk.example\r\n" + shortFields(headBytes)
	}
	p.printf("%d clients at each entry daemon open a connection and send %d bytes", headClients, len(head))
	end := time.Now().Add(headsTime)
	var opened atomic.Int64
	for _, e := range f.entries {
		for range headClients {
			go func() {
				for time.Now().Before(end) {
					if conn, err := net.DialTimeout("tcp", at(e.ip, callerPort), time.Second); err == nil {
						opened.Add(1)
						_ = conn.SetDeadline(end)
						_, _ = io.WriteString(conn, head)
						_, _ = io.Copy(io.Discard, conn)
						_ = conn.Close()
					}
					time.Sleep(headPause)
				}
			}()
		}
	}
	return f.judgeMemory(p, end, func(e *process, n int) {
		id := fmt.Sprintf("look-%s-%d", e.name, n)
		status, text := send(e.ip, "GET", "/look/"+id, id, "key-1", "", 4*time.Second)
		p.printf("%s at %s: %d %.60q", id, e.name, status, text)
	}, 200*time.Millisecond, func() bool { return opened.Load() >= 2*headClients })
}
