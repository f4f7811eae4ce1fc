package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

func init() { cases["answers"] = playAnswers }

// Requests of the case: at each entry daemon, of clients that leave after the gap of the pages, eight times a pause of 800 ms.
const (
	answersTime  = 72 * time.Second
	streamPause  = 12 * time.Millisecond
	clientGap    = 6400 * time.Millisecond
	faultyServer = 16
)

// playAnswers lets all replicas of one service write heads that do not end.
func playAnswers(p *play) (int, error) {
	f := newFleet(p.binary, p.folder, 3, 2, machineMB, p.record)
	p.fleet = f
	defer f.stop()
	if err := f.start(); err != nil {
		return unable, err
	}
	if err := f.order("/Config.Replace", modelRules); err != nil {
		return unable, err
	}
	var runs atomic.Int64
	fields := shortFields(60 << 10)
	answer := func(s *server, conn net.Conn, r *httpRequest, _ []byte) bool {
		runs.Add(1)
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
	end := time.Now().Add(answersTime)
	return f.judgeMemory(p, end, func(e *process, n int) {
		id := fmt.Sprintf("reply-%s-%d", e.name, n)
		status, text := send(e.ip, "POST", "/reply/"+id, id, fmt.Sprintf("key-%d", 1+n%2), "Model: m\r\nToken-Count: 800,80\r\nPrefix-Hash: a1:400,b2:200,c3:200\r\nContent-Length: 0\r\n", clientGap)
		p.printf("%s at %s: %d %.40q", id, e.name, status, text)
	}, streamPause, func() bool { return runs.Load() > 0 })
}
