package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["evidence"] = playEvidence }

// Times and sizes of the case.
const (
	evidenceTime = 40 * time.Second
	// promptClients are at each entry daemon.
	promptClients = 32
	promptBytes   = 15 << 10
	ackTime       = 4 * time.Second
	firstEvent    = 3 * time.Second
	// crashes is the number of replicas that crash for good, one each crashPause, of modelServers.
	crashes      = 4
	crashPause   = 7 * time.Second
	modelServers = 6
)

// uniqueParts returns a Prefix-Hash whose parts no other request has.
func uniqueParts(request int) string {
	var b strings.Builder
	for n := 0; b.Len() < promptBytes; n++ {
		fmt.Fprintf(&b, "%x:1,", request*10000+n)
	}
	return strings.TrimSuffix(b.String(), ",")
}

// playEvidence lets replicas crash, one after the other, while they run prompts of many parts, and sends configurations beside.
func playEvidence(p *play) (int, error) {
	f := newFleet(p.binary, p.folder, 3, 3, 284, p.record)
	defer f.stop()
	if err := f.start(); err != nil {
		return unable, err
	}
	if err := f.order("/Config.Replace", modelRules); err != nil {
		return unable, err
	}
	stream := func(s *server, conn net.Conn, r *httpRequest, _ []byte) bool {
		p.printf("%s runs %s", s.id, r.Header.Get("Attempt-Id"))
		time.Sleep(firstEvent)
		return s.whole(conn, r, 200, "Content-Type: text/event-stream\r\n", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n")
	}
	var servers []*server
	for i := range modelServers {
		s := &server{id: fmt.Sprintf("i-model-%d", i), service: "model", slots: 64, handle: stream}
		if err := f.addServer(s, 10+i); err != nil {
			return unable, err
		}
		servers = append(servers, s)
	}
	if err := f.awaitReady(); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(evidenceTime)
	var work sync.WaitGroup
	for i, e := range f.entries {
		for c := range promptClients {
			work.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					number := (n*len(f.entries)+i)*promptClients + c
					id := fmt.Sprintf("prompt-%d", number)
					began := time.Now()
					status, _ := send(e.ip, "POST", "/reply/"+id, id, "key-2", "Model: m\r\nToken-Count: 800,80\r\nPrefix-Hash: "+uniqueParts(number)+"\r\nContent-Length: 0\r\n", 15*time.Second)
					p.printf("%s at %s: %d after %v", id, e.name, status, time.Since(began))
				}
			})
		}
	}
	if p.trouble {
		work.Go(func() {
			for i := range crashes {
				time.Sleep(crashPause)
				p.printf("%s crashes", servers[i].id)
				servers[i].crash()
			}
		})
	}
	worst := time.Duration(0)
	for version := 2; time.Now().Before(end); version++ {
		text := strings.Replace(modelRules, `"version": 1`, fmt.Sprintf(`"version": %d`, version), 1)
		began := time.Now()
		if err := f.order("/Config.Replace", text); err != nil {
			p.printf("version %d: %v", version, err)
		}
		took := time.Since(began)
		worst = max(worst, took)
		p.printf("version %d acknowledged after %v", version, took)
		time.Sleep(300 * time.Millisecond)
	}
	work.Wait()
	p.printf("longest time to an acknowledgement: %v", worst)
	if worst > ackTime {
		return broken, nil
	}
	return held, nil
}
