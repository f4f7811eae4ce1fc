package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["answers"] = playAnswers }

// Requests of the case: at one entry daemon, of clients that leave after the gap of the pages, eight times a pause of 800 ms.
const (
	answersTime  = 16 * time.Second
	streamPause  = 12 * time.Millisecond
	clientGap    = 6400 * time.Millisecond
	faultyServer = 16
)

// playAnswers lets all replicas of one service write heads that do not end.
func playAnswers(p *play) (int, error) {
	f := newFleet(p.binary, p.folder, 3, 2, machineMB, p.record)
	defer f.stop()
	if err := f.start(); err != nil {
		return unable, err
	}
	if err := f.order("/Config.Replace", modelRules); err != nil {
		return unable, err
	}
	var running atomic.Int64
	fields := shortFields(60 << 10)
	answer := func(s *server, conn net.Conn, r *httpRequest, _ []byte) bool {
		running.Add(1)
		defer running.Add(-1)
		p.printf("%s runs %s", s.id, r.Header.Get("Attempt-Id"))
		if !p.trouble {
			time.Sleep(2 * time.Second)
			return s.whole(conn, r, 200, "Content-Type: text/event-stream\r\n", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n")
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fields)
		for n := 0; err == nil; n++ {
			time.Sleep(200 * time.Millisecond)
			_, err = fmt.Fprintf(conn, "y%d:\r\n", n)
		}
		return false
	}
	for i := range faultyServer {
		if err := f.addServer(&server{id: fmt.Sprintf("i-model-%d", i), service: "model", slots: 64, handle: answer}, 10+i); err != nil {
			return unable, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	e := f.entries[0]
	end := time.Now().Add(answersTime)
	killed, peak := 0, 0
	var work sync.WaitGroup
	work.Go(func() { killed, peak = f.limitMemory(e, end) })
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("reply-%d", n)
		work.Go(func() {
			status, text := send(e.ip, "POST", "/reply/"+id, id, fmt.Sprintf("key-%d", 1+n%2), "Model: m\r\nToken-Count: 800,80\r\nPrefix-Hash: a1:400,b2:200,c3:200\r\nContent-Length: 0\r\n", clientGap)
			p.printf("%s at %s: %d %.40q", id, e.name, status, text)
		})
		if n%100 == 0 {
			p.printf("%d requests at the servers, %s uses %d MB", running.Load(), e.name, e.memoryKB("RssAnon")>>10)
		}
		time.Sleep(streamPause)
	}
	work.Wait()
	p.printf("%s used up to %d MB of %d, and was ended %d times for that", e.name, peak>>10, machineMB, killed)
	if killed > 0 {
		return broken, nil
	}
	return held, nil
}
