package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["evidence"] = playEvidence }

// Times and sizes of the case.
const (
	evidenceTime = 40 * time.Second
	// promptClients are at each entry daemon.
	promptClients = 32
	promptBytes   = 15 << 10
	ackTime       = 4*time.Second + 2*3*time.Millisecond
	firstEvent    = 3 * time.Second
	// crashes is the number of replicas, of modelServers, that crash, one each crashPause. Each is back after downTime.
	crashes      = 4
	crashPause   = 7 * time.Second
	downTime     = 4500 * time.Millisecond
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
	p.fleet = f
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
	var calm atomic.Bool
	calm.Store(true)
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
			time.Sleep(downTime)
			for i := range crashes {
				time.Sleep(crashPause - downTime)
				p.printf("%s crashes", servers[i].id)
				servers[i].crash()
				calm.Store(false)
				time.Sleep(downTime)
				again := &server{id: servers[i].id + "-again", service: "model", slots: 64, handle: stream}
				if err := f.addServer(again, 10+i); err != nil {
					p.printf("restart of a replica: %v", err)
				}
			}
		})
	}
	worst, worstCalm := time.Duration(0), time.Duration(0)
	for version := 2; time.Now().Before(end); version++ {
		text := strings.Replace(modelRules, `"version": 1`, fmt.Sprintf(`"version": %d`, version), 1)
		inCalm, began := calm.Load(), time.Now()
		if err := f.order("/Config.Replace", text); err != nil {
			p.printf("version %d: %v", version, err)
		}
		took := time.Since(began)
		worst = max(worst, took)
		if inCalm && calm.Load() {
			worstCalm = max(worstCalm, took)
		}
		p.printf("version %d acknowledged after %v", version, took)
		time.Sleep(300 * time.Millisecond)
	}
	work.Wait()
	p.printf("longest time to an acknowledgement: %v", worst)
	if worstCalm > time.Second {
		return unable, fmt.Errorf("before the first crash, an acknowledgement took %v", worstCalm)
	}
	if worst > ackTime {
		return broken, nil
	}
	return held, nil
}
