package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
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
	headsTime          = 12 * time.Second
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
	e := f.entries[0]
	if status, text := send(e.ip, "GET", "/look/first", "first", "key-1", "", 4*time.Second); status != 200 {
		return unable, fmt.Errorf("first request: %d %s", status, text)
	}
	end := time.Now().Add(headsTime)
	killed, peak := 0, 0
	var work sync.WaitGroup
	work.Go(func() { killed, peak = f.limitMemory(e, end) })
	head := "GET /look/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: crowd\r\nAuthorization: Token key-1\r\n"
	if p.trouble {
		head = "GET /look/1 HTTP/1.1\r\nHost: desk.example\r\n" + shortFields(headBytes)
	} else {
		head += "\r\n"
	}
	p.printf("%d clients open a connection each and send %d bytes", headClients, len(head))
	var opened atomic.Int64
	for range headClients {
		work.Go(func() {
			conn, err := net.Dial("tcp", at(e.ip, callerPort))
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err = conn.Write([]byte(head)); err == nil {
				opened.Add(1)
			}
			time.Sleep(time.Until(end))
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("look-%d", n)
		work.Go(func() {
			status, text := send(e.ip, "GET", "/look/"+id, id, "key-1", "", 4*time.Second)
			p.printf("%s at %s: %d %.60q", id, e.name, status, text)
		})
		time.Sleep(200 * time.Millisecond)
	}
	work.Wait()
	p.printf("%d connections sent their bytes; %s used up to %d MB of %d, and was ended %d times for that", opened.Load(), e.name, peak>>10, machineMB, killed)
	if killed > 0 {
		return broken, nil
	}
	return held, nil
}
