package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// deadlyCase is a way in which the deadly request of the pages comes again.
type deadlyCase struct {
	// copies are sent at the same time, once in each interval.
	copies   int
	interval time.Duration
	// brittle is what the servers say in Server-Brittle; zero for nothing.
	brittle int
	// lateBeats is how late all heartbeats arrive.
	lateBeats time.Duration
}

const (
	// deadlyTime is the time in which the request comes again.
	deadlyTime = 20 * time.Second
	// downTime is the time until a crashed server is back.
	downTime = 3 * time.Second
	// maxRetries is the number of retries that may reach servers after contactTime from the third crash on.
	maxRetries = 3
	// margin is allowed for the way from the entry daemon to the server.
	margin = 200 * time.Millisecond
)

func init() {
	for name, c := range map[string]deadlyCase{
		"deadly-copies":  {copies: 3, interval: 6 * time.Second},
		"deadly-brittle": {copies: 1, interval: 2 * time.Second, brittle: 20},
		"deadly-late":    {copies: 1, interval: 2 * time.Second, lateBeats: 4 * time.Second},
		"deadly-plain":   {copies: 1, interval: 2 * time.Second},
	} {
		cases[name] = struct {
			plan plan
			run  caseFunc
		}{
			plan: plan{cores: 5, entries: 7, services: []servicePlan{{
				name: "luthier-model", servers: 9, slots: 64, engine: true,
				routes: []routePlan{{name: "client-reply", prefix: "/reply/", kind: "streaming", timeout: 15000, attempts: 1, sticky: true}},
			}}},
			run: c.run,
		}
	}
}

func (c deadlyCase) run(d *deployment, trouble bool) ([]string, error) {
	const path, body = "/reply/9f31", "the letter that crashes the engine"
	var mu sync.Mutex
	var crashes []time.Time
	type arrival struct {
		id string
		at time.Time
	}
	var arrivals []arrival
	deadly := func(s *server, w http.ResponseWriter, r *http.Request, text []byte) bool {
		if r.URL.Path != path || string(text) != body {
			return false
		}
		mu.Lock()
		arrivals = append(arrivals, arrival{r.Header.Get("Attempt-Id"), time.Now()})
		mu.Unlock()
		if !trouble {
			return false
		}
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		d.note("server %s crashes", s.id)
		s.crashFor(downTime)
		return true
	}
	d.setBehaviour(deadly)
	if trouble {
		d.beatDelay.Store(int64(c.lateBeats))
		d.brittle.Store(int64(c.brittle))
	}
	sound := d.startTraffic(20, func(i int) request {
		return request{method: http.MethodPost, path: fmt.Sprintf("/reply/%x", i), body: fmt.Sprintf("letter %d", i), prefix: fmt.Sprintf("5c1e07a2:119,%x:79,a%x:430", 0x100+i%8, i), tokens: "628,290", deadline: 15 * time.Second}
	})
	time.Sleep(5 * time.Second)
	var copies sync.WaitGroup
	began := time.Now()
	for round := 0; time.Since(began) < deadlyTime; round++ {
		for n := range c.copies {
			x := d.entries()[(c.copies*round+n)%len(d.entries())]
			copies.Go(func() {
				id := newID()
				d.note("copy %s of the request goes to %s", id, x.name)
				p := d.send(x, id, request{method: http.MethodPost, path: path, body: body, prefix: "5c1e07a2:119,103:79,bad0:430", tokens: "628,290", deadline: 15 * time.Second})
				d.note("copy %s: %s", id, &p)
			})
		}
		time.Sleep(c.interval)
	}
	copies.Wait()
	time.Sleep(2 * time.Second)
	sound.stop()
	mu.Lock()
	defer mu.Unlock()
	d.note("sound requests: %d sent, %d served", sound.sent.Load(), sound.served.Load())
	if !trouble {
		if n := len(arrivals); n == 0 || sound.served.Load()*10 < sound.sent.Load()*9 {
			return nil, fmt.Errorf("without trouble, %d copies ran and %d of %d sound requests were served", n, sound.served.Load(), sound.sent.Load())
		}
		return nil, nil
	}
	if len(crashes) < 3 {
		return nil, fmt.Errorf("the request crashed %d servers only", len(crashes))
	}
	third := crashes[2]
	late := 0
	seen := make(map[string]bool)
	for _, a := range arrivals {
		if a.at.Sub(third) > contactTime+margin && !seen[a.id] {
			seen[a.id] = true
			late++
		}
	}
	d.note("crashes: %d, the third at %.3f s; retries that reached servers later than %v after it: %d", len(crashes), third.Sub(d.started).Seconds(), contactTime, late)
	if late > maxRetries {
		return []string{fmt.Sprintf("BUDGET: a request that crashes servers reached servers in %d retries that were sent later than %v after its third crash; %d are allowed; it crashed %d servers", late, contactTime, maxRetries, len(crashes))}, nil
	}
	return nil, nil
}
