package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["long"] = playLong }

// Clients that fetch long answers, in calm and in a burst, and the rate at which their links deliver them.
const (
	longTime     = 36 * time.Second
	calmReaders  = 3
	burstReaders = 5
	answerBytes  = 7 << 20
	readBytes    = 64 << 10
	readPause    = 80 * time.Millisecond
)

const longRules = `{"version": 1, "routes": [
 {"name": "export", "host": "desk.example", "pathPrefix": "/export/", "kind": "non_idempotent", "timeoutMs": 15000, "targetLatencyMs": 4000, "priority": 0, "service": "ledger", "maxAttempts": 1}],
 "services": [{"name": "ledger", "healthPath": "/healthz", "maxConnections": 100}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "shop", "apiKeys": ["key-1"]}]}`

// playLong lets clients fetch long answers over kept connections.
func playLong(p *play) (int, error) {
	f := newFleet(p.binary, p.folder, 3, 2, machineMB, p.record)
	p.fleet = f
	defer f.stop()
	if err := f.start(); err != nil {
		return unable, err
	}
	if err := f.order("/Config.Replace", longRules); err != nil {
		return unable, err
	}
	body := strings.Repeat("0123456789abcdef", answerBytes/16)
	var mu sync.Mutex
	ran := make(map[string]bool)
	answer := func(s *server, conn net.Conn, r *httpRequest, _ []byte) bool {
		id := r.Header.Get("Attempt-Id")
		p.printf("%s runs %s", s.id, id)
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		if strings.HasPrefix(id, "first") {
			return s.whole(conn, r, 200, "", "fine")
		}
		return s.whole(conn, r, 200, "", body)
	}
	for i := range 2 {
		if err := f.addServer(&server{id: fmt.Sprintf("i-%d", i), service: "ledger", slots: 16, handle: answer}, i); err != nil {
			return unable, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	e := f.entries[0]
	readers := calmReaders
	if p.trouble {
		readers = burstReaders
	}
	end := time.Now().Add(longTime)
	whole, cut := 0, 0
	var work sync.WaitGroup
	for c := range readers {
		work.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("export-%d-%d", c, n)
				status, got, err := fetch(e.ip, id)
				p.printf("%s: %d, %d of %d bytes, %v", id, status, got, answerBytes, err)
				mu.Lock()
				switch {
				case status == 200 && got == answerBytes:
					whole++
				case ran[id] && status != 502 && status != 504:
					cut++
				}
				mu.Unlock()
			}
		})
	}
	work.Wait()
	p.printf("%d readers; %d answers came whole; of the requests that the replicas ran, %d ended with a connection that was closed before its answer was whole", readers, whole, cut)
	if cut > 3 {
		return broken, nil
	}
	return held, nil
}

// fetch sends a request on a connection that has carried another one, and reads the answer at the rate of a slow link.
func fetch(ip, id string) (status, got int, err error) {
	conn, err := net.DialTimeout("tcp", at(ip, callerPort), time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(readBytes)
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	in := bufio.NewReader(conn)
	for _, name := range []string{"first-" + id, id} {
		fmt.Fprintf(conn, "POST /export/%s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 15000\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\r\n", name, name)
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return 0, 0, err
		}
		status, got = response.StatusCode, 0
		for err == nil {
			var n int64
			n, err = io.CopyN(io.Discard, response.Body, readBytes)
			got += int(n)
			if got > readBytes {
				time.Sleep(readPause)
			}
		}
		if err != io.EOF {
			return status, got, err
		}
	}
	return status, got, nil
}
