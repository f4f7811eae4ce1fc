package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["parts"] = playParts }

const modelRules = `{"version": 1, "routes": [
 {"name": "look", "host": "desk.example", "pathPrefix": "/look/", "kind": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 0, "service": "ledger", "maxAttempts": 2},
 {"name": "reply", "host": "desk.example", "pathPrefix": "/reply/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 600, "targetGapMs": 800, "priority": 0, "service": "model", "maxAttempts": 2, "sticky": true, "resumable": true}],
 "services": [{"name": "ledger", "healthPath": "/healthz", "maxConnections": 100}, {"name": "model", "healthPath": "/healthz", "maxConnections": 360}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "shop", "apiKeys": ["key-1"]}, {"name": "hall", "apiKeys": ["key-2"]}]}`

// Times of the case. The route of the ordinary requests has timeoutMs 4000.
const (
	partsTime     = 20 * time.Second
	routeTimeout  = 4 * time.Second
	answerSlack   = 500 * time.Millisecond
	ordinaryPause = 100 * time.Millisecond
	// longClients are at each entry daemon. Each sends a prompt longPause after the answer to the one before.
	longClients = 4
	longPause   = 100 * time.Millisecond
)

// calmRequests are sent before the long heads; a machine that needs more than calmTime for one is too slow for the case.
const (
	calmRequests = 20
	calmTime     = time.Second
)

// playParts lets one client at each entry daemon send prompts in heads over the limit, one after the other, beside ordinary
// requests of another tenant.
func playParts(p *play) (int, error) {
	f := newFleet(p.binary, p.folder, 3, 2, 284, p.record)
	p.fleet = f
	defer f.stop()
	if err := f.start(); err != nil {
		return unable, err
	}
	if err := f.order("/Config.Replace", modelRules); err != nil {
		return unable, err
	}
	answer := func(s *server, conn net.Conn, r *httpRequest, _ []byte) bool {
		p.printf("%s runs %s", s.id, r.Header.Get("Attempt-Id"))
		time.Sleep(30 * time.Millisecond)
		return s.whole(conn, r, 200, "", "fine")
	}
	stream := func(s *server, conn net.Conn, r *httpRequest, _ []byte) bool {
		p.printf("%s runs %s", s.id, r.Header.Get("Attempt-Id"))
		return s.whole(conn, r, 200, "Content-Type: text/event-stream\r\n", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n")
	}
	for i := range 4 {
		if err := f.addServer(&server{id: fmt.Sprintf("i-ledger-%d", i), service: "ledger", slots: 6, handle: answer}, i); err != nil {
			return unable, err
		}
		if err := f.addServer(&server{id: fmt.Sprintf("i-model-%d", i), service: "model", slots: 64, handle: stream}, 10+i); err != nil {
			return unable, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	if status, text := send(f.entries[0].ip, "GET", "/look/first", "first", "key-1", "", routeTimeout); status != 200 {
		return unable, fmt.Errorf("first request: %d %s", status, text)
	}
	for n := range calmRequests {
		began := time.Now()
		status, _ := send(f.entries[n%2].ip, "GET", "/look/calm", fmt.Sprintf("calm-%d", n), "key-1", "", routeTimeout)
		if took := time.Since(began); status != 200 || took > calmTime {
			return unable, fmt.Errorf("in calm, a request got %d after %v", status, took)
		}
	}
	parts := "5c1e07a2:400,91bd3f06:200,e4402b7d:200"
	if p.trouble {
		parts = strings.TrimSuffix(strings.Repeat("a:1,", 15500), ",")
	}
	end := time.Now().Add(partsTime)
	var work sync.WaitGroup
	for i, e := range f.entries {
		for c := range longClients {
			work.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("long-%d-%d-%d", i, c, n)
					began := time.Now()
					status, text := send(e.ip, "POST", "/reply/"+id, id, "key-2", "Model: m\r\nToken-Count: 800,80\r\nPrefix-Hash: "+parts+"\r\nContent-Length: 0\r\n", 15*time.Second)
					p.printf("%s (Prefix-Hash of %d bytes) at %s: %d %.40q after %v", id, len(parts), e.name, status, text, time.Since(began))
					time.Sleep(longPause)
				}
			})
		}
		work.Go(func() { f.askReadiness(e, end) })
	}
	var mu sync.Mutex
	sent, late, without := 0, 0, 0
	for n := 0; time.Now().Before(end); n++ {
		e, id := f.entries[n%2], fmt.Sprintf("look-%d", n)
		work.Go(func() {
			began := time.Now()
			status, text := send(e.ip, "GET", "/look/"+id, id, "key-1", "", routeTimeout+answerSlack)
			took := time.Since(began)
			p.printf("%s at %s: %d %.40q after %v", id, e.name, status, text, took)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if took >= routeTimeout {
				late++
				if status == 0 {
					without++
				}
			}
		})
		time.Sleep(ordinaryPause)
	}
	work.Wait()
	p.printf("%d ordinary requests; %d had no answer at the timeout of their route, %d of these none %v later", sent, late, without, answerSlack)
	if late >= 8 && 2*without > late {
		return broken, nil
	}
	return held, nil
}
